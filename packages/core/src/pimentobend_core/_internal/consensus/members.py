"""Define the members of a cluster and how they change."""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class Member(NamedTuple):
    """A control replica and the address that its link listens on."""

    replica_id: str
    address: str


class Members(NamedTuple):
    """The replicas of a cluster: voters, and learners, which only copy the log."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def voter_ids(self) -> frozenset[str]:
        """Return the ids of the replicas that vote."""
        return frozenset(member.replica_id for member in self.voters)

    @property
    def all(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replica_ids: frozenset[str]) -> bool:
        """Return whether these replicas include a majority of the voters."""
        return len(self.voter_ids & replica_ids) >= self.quorum

    def quorum_value(self, values: Mapping[str, float]) -> float:
        """Return the highest value that a majority of the voters has reached."""
        reached = sorted((values[voter] for voter in self.voter_ids), reverse=True)
        return reached[self.quorum - 1]


NO_MEMBERS = Members(())


class MemberAction(enum.IntEnum):
    """The kind of a membership change."""

    ADD_LEARNER = 0
    PROMOTE = 1
    REMOVE = 2


class MemberChange(NamedTuple):
    """A change of one member; only ``ADD_LEARNER`` uses ``address``."""

    action: MemberAction
    replica_id: str
    address: str = ""


def change_members(members: Members, change: MemberChange) -> Members | None:
    """Return the changed members, or None if the change is not possible.

    Repeating a change that has already been made returns the same members,
    so a change can be retried.
    """
    known = {member.replica_id: member for member in members.all}
    if change.action is MemberAction.ADD_LEARNER:
        if change.replica_id in known:
            return members
        learner = Member(change.replica_id, change.address)
        return members._replace(learners=(*members.learners, learner))
    remaining = Members(
        _without(members.voters, change.replica_id),
        _without(members.learners, change.replica_id),
    )
    if change.action is MemberAction.REMOVE:
        return remaining if remaining.voters else None
    if change.replica_id in members.voter_ids:
        return members
    if change.replica_id not in known:
        return None
    return remaining._replace(voters=(*remaining.voters, known[change.replica_id]))


def _without(members: tuple[Member, ...], replica_id: str) -> tuple[Member, ...]:
    return tuple(member for member in members if member.replica_id != replica_id)
