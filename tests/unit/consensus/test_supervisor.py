"""Check how a cluster forms, admits candidates and replaces lost replicas."""

import pytest

from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.formation import create_identity
from pimentobend_core._internal.consensus.formation import first_members
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.supervisor import CandidateHeard
from pimentobend_core._internal.consensus.supervisor import LeaderView
from pimentobend_core._internal.consensus.supervisor import Supervisor
from pimentobend_core._internal.consensus.supervisor import SupervisorTick
from pimentobend_core._internal.consensus.supervisor import choose_change

ADD, PROMOTE, REMOVE = MemberAction


def member(name: str) -> Member:
    return Member(f"{name}/0", name)


def view(
    voters: str, learners: str = "", quiet: str = "", caught_up: str = ""
) -> LeaderView:
    """Return the view of the first voter, which leads; ``quiet`` ones are silent."""
    names = voters + learners
    return LeaderView(
        f"{voters[0]}/0",
        Members(tuple(map(member, voters)), tuple(map(member, learners))),
        {f"{n}/0": 60.0 if n in quiet else 0.1 for n in names if n != voters[0]},
        frozenset(f"{name}/0" for name in caught_up),
    )


CASES = [
    ("no change needed", view("abcde"), "", None),
    ("a candidate", view("abc"), "d/0", MemberChange(ADD, "d/0", "d")),
    ("a candidate that is a member", view("abc"), "c/0", None),
    ("a learner behind", view("abc", "d"), "", None),
    (
        "a ready learner that would make the number even",
        view("abc", "d", "", "d"),
        "",
        None,
    ),
    ("ready learners", view("abc", "de", "", "de"), "", MemberChange(PROMOTE, "d/0")),
    (
        "a ready learner beside one behind",
        view("abc", "de", "", "d"),
        "",
        None,
    ),
    (
        "a ready learner that makes the number odd",
        view("abcd", "e", "", "e"),
        "",
        MemberChange(PROMOTE, "e/0"),
    ),
    ("a full cluster", view("abcde", "f", "", "f"), "", None),
    (
        "a silent voter and a ready learner",
        view("abcde", "f", "c", "f"),
        "",
        MemberChange(REMOVE, "c/0"),
    ),
    ("a silent voter and no learner", view("abcde", "", "c"), "", None),
    ("a silent voter and a learner behind", view("abcde", "f", "c"), "", None),
    (
        "a silent voter and a silent learner",
        view("abcde", "f", "cf", "f"),
        "",
        MemberChange(REMOVE, "f/0"),
    ),
    ("three silent voters of five", view("abcde", "f", "cde", "f"), "", None),
    (
        "a voter that lost its disk",
        view("abcde", "", "c"),
        "c/9",
        MemberChange(REMOVE, "c/0"),
    ),
    (
        "a lost disk that a majority cannot spare",
        view("abc", "", "bc"),
        "c/9",
        MemberChange(ADD, "c/9", "c"),
    ),
    ("one silent voter of three", view("abc", "", "c"), "", None),
    (
        "one silent voter of four",
        view("abcd", "", "c"),
        "",
        MemberChange(REMOVE, "c/0"),
    ),
    (
        "a silent voter of four, a candidate",
        view("abcd", "", "c"),
        "e/0",
        MemberChange(REMOVE, "c/0"),
    ),
    (
        "a silent voter of four, a ready learner",
        view("abcd", "e", "c", "e"),
        "",
        MemberChange(PROMOTE, "e/0"),
    ),
    (
        "a silent voter of three, a ready learner",
        view("abc", "d", "c", "d"),
        "",
        MemberChange(PROMOTE, "d/0"),
    ),
    ("a silent learner", view("abc", "d", "d"), "", MemberChange(REMOVE, "d/0")),
]


@pytest.mark.parametrize(
    ("cluster", "candidate", "change"),
    [c[1:] for c in CASES],
    ids=[c[0] for c in CASES],
)
def test_choose_change(
    cluster: LeaderView, candidate: str, change: MemberChange | None
) -> None:
    candidates = (candidate,) if candidate else ()
    assert choose_change(cluster, candidates) == change


def test_one_change_at_a_time_and_only_by_the_leader() -> None:
    supervisor = Supervisor()
    supervisor.handle(CandidateHeard("d/0"), 0.0)
    assert supervisor.handle(SupervisorTick(None), 0.1) == ()
    (change,) = supervisor.handle(SupervisorTick(view("abc")), 0.2)
    assert isinstance(change, ChangeMembers)
    assert supervisor.handle(SupervisorTick(view("abc")), 0.3) == ()
    ended = ProposalResult(change.proposal_id, Outcome.REJECTED)
    supervisor.handle(ended, 0.4)
    assert len(supervisor.handle(SupervisorTick(view("abc")), 0.5)) == 1


def test_silent_candidate_expires() -> None:
    supervisor = Supervisor()
    supervisor.handle(CandidateHeard("d/0"), 0.0)
    assert supervisor.handle(SupervisorTick(view("abc")), 5.0) == ()


IDENTITIES = [
    ("a founder", "b", True, "b/0", 3),
    ("a founder that lost its folder", "b", False, "b/t", 0),
    ("one that joins at the first start", "d", True, "d/t", 0),
    ("one that joins later", "d", False, "d/t", 0),
]


@pytest.mark.parametrize(
    ("address", "is_first", "replica_id", "voters"),
    [i[1:] for i in IDENTITIES],
    ids=[i[0] for i in IDENTITIES],
)
def test_identities(address: str, is_first: bool, replica_id: str, voters: int) -> None:
    identity = create_identity(
        address, ("a", "b", "c"), is_first_start=is_first, token="t"
    )
    assert identity.replica_id == replica_id
    assert address_of(replica_id) == address
    members = first_members(identity)
    assert len(members.voters) == voters
    assert not voters or replica_id in members.voter_ids
