"""Check decisions of single replicas and of small clusters."""

import pytest
from memory_disk import DiskFault
from replica_cluster import Cluster

from pimentobend_core._internal.consensus.constants import ELECTION_MIN_S
from pimentobend_core._internal.consensus.constants import LEASE_S
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.members import change_members
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import Received
from pimentobend_core._internal.consensus.messages import RequestVote
from pimentobend_core._internal.consensus.messages import Send
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.messages import VoteReply
from pimentobend_core._internal.consensus.replica import Replica
from pimentobend_core._internal.consensus.state import Role

MEMBERS = Members(tuple(Member(each, f"address-{each}") for each in "abc"))
ENTRIES = (Entry(1, 1, b"one"), Entry(2, 2, b"two"))
STORED = StoredState(2, None, BaseRecord(0, 0, MEMBERS), ENTRIES, None)


def _elected() -> Cluster:
    cluster = Cluster("abc", "def", seed=5)
    cluster.run(3.0)
    assert cluster.leader is not None
    return cluster


def _leader(cluster: Cluster) -> str:
    leader = cluster.leader
    assert leader is not None
    return leader


def _outcome(cluster: Cluster, node: str, command: bytes) -> Outcome | None:
    (proposal_id,) = cluster.propose(node, command)
    cluster.run(0.5)
    proposed = cluster.outcomes.get(proposal_id)
    return proposed.outcome if proposed else None


def _replica_leading_term_3() -> Replica:
    replica = Replica("a", STORED, seed=1, now=0.0)
    replica.handle(Tick(), 2.0)
    replica.handle(Received("b", VoteReply(3, True, True)), 2.0)
    replica.handle(Received("b", VoteReply(3, True, False)), 2.0)
    assert replica.state.role is Role.LEADER
    return replica


@pytest.mark.parametrize(("matched", "committed"), [(0, 0), (1, 0), (2, 0), (3, 3)])
def test_only_entries_of_the_current_term_commit(matched: int, committed: int) -> None:
    replica = _replica_leading_term_3()
    reply = AppendReply(3, True, matched, 2.0)
    replica.handle(Received("b", reply), 2.1)
    assert replica.commit_index == committed


OBSERVED_S = 5.0  # period in which heartbeats are counted


@pytest.mark.parametrize(
    ("peer", "matched", "least", "most"),
    [
        ("b", 3, 18, 21),
        ("d", 3, 4, 7),  # a learner that has all entries
        ("d", 2, 18, 21),  # a learner that lacks one
    ],
)
def test_heartbeat_rate(peer: str, matched: int, least: int, most: int) -> None:
    members = MEMBERS._replace(learners=(Member("d", "address-d"),))
    stored = STORED._replace(base=BaseRecord(0, 0, members))
    replica = Replica("a", stored, seed=1, now=0.0)
    replica.handle(Tick(), 2.0)
    replica.handle(Received("b", VoteReply(3, True, True)), 2.0)
    replica.handle(Received("b", VoteReply(3, True, False)), 2.0)
    replica.handle(Received("b", AppendReply(3, True, 3, 2.0)), 2.0)
    replica.handle(Received("d", AppendReply(3, True, matched, 2.0)), 2.0)
    now = 2.0
    sent = 0
    while now < 2.0 + OBSERVED_S:
        now = replica.next_tick
        for output in replica.handle(Tick(), now):
            sent += isinstance(output, Send) and output.recipient == peer
        replica.handle(Received("b", AppendReply(3, True, 3, now)), now)
    assert least <= sent <= most


@pytest.mark.parametrize("is_isolated", [False, True])
@pytest.mark.parametrize("idle_s", [0.0, 0.25, 0.5, 0.75, 1.0])
def test_leader_keeps_its_lease_while_it_promotes_a_learner(
    idle_s: float, is_isolated: bool
) -> None:
    """Guards against a leader that steps down as its learner's last reply is old."""
    cluster = _elected()
    leader = _leader(cluster)
    lost = next(each for each in "abc" if each != leader)
    cluster.crash(lost)
    add = MemberChange(MemberAction.ADD_LEARNER, "d", "address-d")
    cluster.change_members(leader, add)
    cluster.run(2.0 + idle_s)
    term = cluster.nodes[leader].replica.state.term
    promotion = MemberChange(MemberAction.PROMOTE, "d")
    proposal_id = cluster.change_members(leader, promotion)
    if is_isolated:
        cluster.isolate(leader)
    cluster.run(0.9)
    state = cluster.nodes[leader].replica.state
    assert (state.role is Role.LEADER) is not is_isolated
    assert is_isolated or state.term == term
    if not is_isolated:
        assert cluster.outcomes[proposal_id].outcome is Outcome.COMMITTED


@pytest.mark.parametrize(
    ("since_heard_s", "message", "expected"),
    [
        (ELECTION_MIN_S * 0.9, RequestVote(9, 2, 2, False), False),
        (ELECTION_MIN_S * 1.01, RequestVote(9, 2, 2, False), True),
        (ELECTION_MIN_S * 0.9, RequestVote(9, 2, 2, True), False),
        (ELECTION_MIN_S * 1.01, RequestVote(9, 2, 2, True), True),
        (ELECTION_MIN_S * 1.01, RequestVote(9, 1, 2, False), False),
        (ELECTION_MIN_S * 1.01, RequestVote(9, 9, 1, False), False),
        (ELECTION_MIN_S * 1.01, RequestVote(1, 9, 9, False), False),
        (ELECTION_MIN_S * 1.01, RequestVote(2, 9, 9, True), False),
    ],
)
def test_votes(since_heard_s: float, message: PeerMessage, expected: bool) -> None:
    replica = Replica("b", STORED, seed=1, now=0.0)
    heartbeat = AppendEntries(2, 2, 2, (), 0, 1.0)
    replica.handle(Received("a", heartbeat), 5.0)
    outputs = replica.handle(Received("c", message), 5.0 + since_heard_s)
    granted = [
        output.message.is_granted
        for output in outputs
        if hasattr(output, "message") and isinstance(output.message, VoteReply)
    ]
    assert any(granted) == expected


@pytest.mark.parametrize("is_pre_vote", [True, False])
def test_one_vote_per_term(is_pre_vote: bool) -> None:
    replica = Replica("b", STORED, seed=1, now=0.0)
    request = RequestVote(9, 2, 2, is_pre_vote)
    replies = [
        output.message
        for sender in "ac"
        for output in replica.handle(Received(sender, request), 2.0)
        if hasattr(output, "message") and isinstance(output.message, VoteReply)
    ]
    assert [reply.is_granted for reply in replies] == [True, is_pre_vote]


def test_the_only_voter_leads_at_once() -> None:
    cluster = Cluster("a")
    cluster.tick()
    assert cluster.leader == "a"
    assert _outcome(cluster, "a", b"x") is Outcome.COMMITTED


@pytest.mark.parametrize("asked", ["leader", "follower", "learner"])
def test_outcomes_by_role(asked: str) -> None:
    cluster = _elected()
    leader = _leader(cluster)
    others = [each for each in "abc" if each != leader]
    node = {"leader": leader, "follower": others[0], "learner": "d"}[asked]
    expected = {
        "leader": Outcome.COMMITTED,
        "follower": Outcome.NOT_LEADER,
        "learner": Outcome.NO_MAJORITY,
    }
    assert _outcome(cluster, node, b"x") is expected[asked]


@pytest.mark.parametrize("blocked", ["both ways", "cannot be heard", "cannot hear"])
def test_isolated_leader_steps_down_within_its_lease(blocked: str) -> None:
    cluster = _elected()
    leader = _leader(cluster)
    for other in cluster.nodes:
        if blocked != "cannot hear":
            cluster.blocked_links.add((leader, other))
        if blocked != "cannot be heard":
            cluster.blocked_links.add((other, leader))
    (in_flight,) = cluster.propose(leader, b"in flight")
    cluster.now += LEASE_S
    (late,) = cluster.propose(leader, b"late")
    assert cluster.outcomes[late].outcome is Outcome.NO_MAJORITY
    assert cluster.outcomes[in_flight].outcome is Outcome.UNKNOWN
    cluster.run(3.0)
    assert cluster.leader != leader
    assert _outcome(cluster, _leader(cluster), b"next") is Outcome.COMMITTED
    cluster.check()


@pytest.mark.parametrize("changes", [300, 3000])
@pytest.mark.parametrize("compacts", [True, False])
def test_a_replica_catches_up(changes: int, compacts: bool) -> None:
    cluster = _elected()
    leader = _leader(cluster)
    away = next(each for each in "abc" if each != leader)
    cluster.crash(away)
    for first in range(0, changes, 100):
        cluster.propose(leader, *(b"%d" % each for each in range(first, first + 100)))
        cluster.run(0.1)
    if compacts:
        cluster.compact(leader)
    cluster.restart(away)
    cluster.run(1.0)
    assert cluster.nodes[away].applied == [b"%d" % each for each in range(changes)]


@pytest.mark.parametrize("compacts", [True, False])
def test_after_a_replacement_a_second_replica_may_be_lost(compacts: bool) -> None:
    cluster = _elected()
    leader = _leader(cluster)
    lost, second = (each for each in "abc" if each != leader)
    cluster.propose(leader, *(b"%d" % each for each in range(1500)))
    cluster.run(0.5)
    if compacts:
        cluster.compact(leader)
    cluster.crash(lost)
    for action, node in (
        (MemberAction.ADD_LEARNER, "d"),
        (MemberAction.PROMOTE, "d"),
        (MemberAction.REMOVE, lost),
    ):
        change = MemberChange(action, node, f"address-{node}")
        proposal_id = cluster.change_members(leader, change)
        cluster.run(0.5)
        assert cluster.outcomes[proposal_id].outcome is Outcome.COMMITTED, action
    cluster.crash(second)
    assert _outcome(cluster, leader, b"after") is Outcome.COMMITTED
    assert len(cluster.nodes["d"].applied) == 1501


def test_a_learner_is_promoted_only_once_it_has_caught_up() -> None:
    cluster = _elected()
    leader = _leader(cluster)
    cluster.propose(leader, *(b"%d" % each for each in range(500)))
    cluster.run(0.2)
    cluster.isolate("d")
    added = MemberChange(MemberAction.ADD_LEARNER, "d", "address-d")
    cluster.change_members(leader, added)
    cluster.run(0.2)
    promoted = MemberChange(MemberAction.PROMOTE, "d")
    refused = cluster.change_members(leader, promoted)
    cluster.blocked_links.clear()
    cluster.run(0.5)
    taken = cluster.change_members(leader, promoted)
    cluster.run(0.2)
    assert cluster.outcomes[refused].outcome is Outcome.REJECTED
    assert cluster.outcomes[taken].outcome is Outcome.COMMITTED


@pytest.mark.parametrize("fault", list(DiskFault))
def test_a_failed_sync_is_never_acknowledged(fault: DiskFault) -> None:
    cluster = _elected()
    leader = _leader(cluster)
    cluster.nodes[leader].disk.fault = fault
    (proposal_id,) = cluster.propose(leader, b"x")
    assert not cluster.in_transit
    assert proposal_id not in cluster.outcomes
    cluster.run(3.0)
    assert _outcome(cluster, _leader(cluster), b"y") is Outcome.COMMITTED
    cluster.heal()
    cluster.run(3.0)
    cluster.check()


def test_new_leader_is_elected_within_3_s() -> None:
    for seed in range(20):
        cluster = Cluster("abcde", seed=seed)
        cluster.run(3.0)
        cluster.crash(_leader(cluster))
        cluster.run(3.0)
        assert _outcome(cluster, _leader(cluster), b"x") is Outcome.COMMITTED


CHANGES = [
    (MemberAction.ADD_LEARNER, "d", "abc", "d"),
    (MemberAction.ADD_LEARNER, "a", "abc", ""),
    (MemberAction.PROMOTE, "a", "abc", ""),
    (MemberAction.REMOVE, "a", "bc", ""),
    (MemberAction.REMOVE, "x", "abc", ""),
]


@pytest.mark.parametrize(("action", "node", "voters", "learners"), CHANGES)
def test_membership_change_may_be_repeated(
    action: MemberAction, node: str, voters: str, learners: str
) -> None:
    change = MemberChange(action, node, f"address-{node}")
    once = change_members(MEMBERS, change)
    assert once is not None
    assert change_members(once, change) == once
    assert "".join(sorted(once.voter_ids)) == voters
    assert "".join(each.replica_id for each in once.learners) == learners


@pytest.mark.parametrize(
    "change",
    [MemberChange(MemberAction.PROMOTE, "x"), MemberChange(MemberAction.REMOVE, "a")],
)
def test_impossible_membership_change_is_refused(change: MemberChange) -> None:
    alone = Members((Member("a", "address-a"),))
    assert change_members(alone, change) is None
