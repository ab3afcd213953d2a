"""Keep an odd number of voters, ``VOTERS`` at most: admit and replace replicas.

An even number of voters needs a larger majority and tolerates no more losses than one
voter fewer.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.pipes import StatefulFilter

FIRST_PROPOSAL_ID = 1 << 49  # above the ids that the service and operators use
VOTERS = 5  # a majority remains after the loss of two disks
CANDIDATE_TIMEOUT_S = 2.0  # candidates announce themselves every 0.5 s
# A voter that sends no reply for this long is replaced, or removed where the others
# can spare it. A restart with its reconnect takes less.
VOTER_ACK_TIMEOUT_S = 3.0
LEARNER_ACK_TIMEOUT_S = 10.0  # a learner that sends no reply this long is removed
VOTER_LIVE_S = 1.0  # a live voter has answered a heartbeat within this time
LEARNER_LIVE_S = 2.5  # learners get one heartbeat per second
CHANGE_TIMEOUT_S = 3.0  # a change without an outcome is then given up


class CandidateHeard(NamedTuple):
    """Report a replica that asks to join the cluster."""

    replica_id: str


class LeaderView(NamedTuple):
    """Tell which members the cluster has and how well they follow the leader."""

    replica_id: str
    members: Members
    # Seconds since the last reply, by the id of each member except the leader.
    ack_age_s: Mapping[str, float]
    caught_up: frozenset[str]  # ids of the learners whose log is nearly complete


class SupervisorTick(NamedTuple):
    """Run the periodic check; ``view`` is None unless this replica leads."""

    view: LeaderView | None


SupervisorInput = CandidateHeard | SupervisorTick | ProposalResult


class Supervisor(StatefulFilter[SupervisorInput, ChangeMembers]):
    """Propose one change of members at a time while this replica leads."""

    def __init__(self) -> None:
        self._candidate_heard_at: dict[str, float] = {}
        self._next_id = FIRST_PROPOSAL_ID
        self._pending: tuple[int, float] | None = None  # proposal id and time

    def handle(self, message: SupervisorInput, now: float) -> tuple[ChangeMembers, ...]:
        """Handle a candidate, the outcome of a change, or a tick."""
        match message:
            case CandidateHeard():
                self._candidate_heard_at[message.replica_id] = now
                return ()
            case ProposalResult():
                if self._pending and self._pending[0] == message.proposal_id:
                    self._pending = None
                return ()
            case SupervisorTick():
                return self._tick(message.view, now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "candidates": sorted(self._candidate_heard_at),
            "pending": self._pending[0] if self._pending else None,
        }

    def _tick(self, view: LeaderView | None, now: float) -> tuple[ChangeMembers, ...]:
        self._candidate_heard_at = {
            each: heard_at
            for each, heard_at in self._candidate_heard_at.items()
            if now - heard_at < CANDIDATE_TIMEOUT_S
        }
        if self._pending and now - self._pending[1] >= CHANGE_TIMEOUT_S:
            self._pending = None
        if view is None or self._pending is not None:
            return ()
        change = choose_change(view, tuple(sorted(self._candidate_heard_at)))
        if change is None:
            return ()
        proposal_id = self._next_id
        self._next_id += 1
        self._pending = (proposal_id, now)
        return (ChangeMembers(proposal_id, change),)


def choose_change(view: LeaderView, candidates: tuple[str, ...]) -> MemberChange | None:
    """Return the next change towards an odd number of live voters, None if none."""
    return (
        _remove_lost_disk(view, candidates)
        or _replace_voter(view)
        or _promote(view)
        or _remove_surplus_voter(view)
        or _add_learner(view, candidates)
        or _remove_learner(view)
    )


def _remove_lost_disk(
    view: LeaderView, candidates: tuple[str, ...]
) -> MemberChange | None:
    """Remove a member that lost its disk: a candidate has its address but a new id."""
    addresses = {address_of(each): each for each in candidates}
    for member in view.members.all:
        successor = addresses.get(address_of(member.replica_id))
        if successor is None or successor == member.replica_id:
            continue
        if _keeps_majority_without(view, member.replica_id):
            return MemberChange(MemberAction.REMOVE, member.replica_id)
    return None


def _replace_voter(view: LeaderView) -> MemberChange | None:
    """Remove an unresponsive voter of a full cluster once a learner can replace it."""
    if not _ready_learners(view) or len(view.members.voters) < VOTERS:
        return None
    return _remove_silent_voter(view)


def _promote(view: LeaderView) -> MemberChange | None:
    """Promote a learner if an odd number of voters can follow from it.

    In place of a silent voter that the others cannot spare, one is promoted first; then
    they can.
    """
    ready = _ready_learners(view)
    voters = len(view.members.voters)
    if not ready or voters >= VOTERS:
        return None
    can_become_odd = voters % 2 == 0 or len(ready) > 1
    if can_become_odd or _find_silent_voter(view) is not None:
        return MemberChange(MemberAction.PROMOTE, ready[0])
    return None


def _remove_surplus_voter(view: LeaderView) -> MemberChange | None:
    """Remove an unresponsive voter of an even number; then fewer votes are needed."""
    if len(view.members.voters) % 2:
        return None
    return _remove_silent_voter(view)


def _remove_silent_voter(view: LeaderView) -> MemberChange | None:
    voter = _find_silent_voter(view)
    if voter is None or not _keeps_majority_without(view, voter):
        return None
    return MemberChange(MemberAction.REMOVE, voter)


def _add_learner(view: LeaderView, candidates: tuple[str, ...]) -> MemberChange | None:
    known = {member.replica_id for member in view.members.all}
    for candidate in candidates:
        if candidate not in known:
            address = address_of(candidate)
            return MemberChange(MemberAction.ADD_LEARNER, candidate, address)
    return None


def _remove_learner(view: LeaderView) -> MemberChange | None:
    for member in view.members.learners:
        if view.ack_age_s.get(member.replica_id, 0.0) >= LEARNER_ACK_TIMEOUT_S:
            return MemberChange(MemberAction.REMOVE, member.replica_id)
    return None


def _find_silent_voter(view: LeaderView) -> str | None:
    """Return the voter that has been unresponsive for longest, None if all respond."""
    ages = [
        (view.ack_age_s.get(each, 0.0), each)
        for each in view.members.voter_ids
        if each != view.replica_id
    ]
    ack_age_s, voter = max(ages, default=(0.0, ""))
    return voter if ack_age_s >= VOTER_ACK_TIMEOUT_S else None


def _ready_learners(view: LeaderView) -> tuple[str, ...]:
    return tuple(
        member.replica_id
        for member in view.members.learners
        if member.replica_id in view.caught_up
        and view.ack_age_s.get(member.replica_id, LEARNER_LIVE_S) < LEARNER_LIVE_S
    )


def _keeps_majority_without(view: LeaderView, replica_id: str) -> bool:
    """Return whether a majority of the remaining voters would be live."""
    voters = view.members.voter_ids - {replica_id}
    live = [
        voter
        for voter in voters
        if voter == view.replica_id
        or view.ack_age_s.get(voter, VOTER_LIVE_S) < VOTER_LIVE_S
    ]
    return len(live) > len(voters) // 2
