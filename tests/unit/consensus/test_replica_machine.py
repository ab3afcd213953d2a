"""Search for violated guarantees of the replicated log under faults."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from memory_disk import DiskFault
from replica_cluster import Cluster

from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange

SEED = 5
VOTERS = "abc"
OTHERS = "de"
NODES = st.sampled_from(VOTERS + OTHERS)
ACTIONS = st.sampled_from(MemberAction)
FAULTS = st.sampled_from(DiskFault)
SECONDS = st.sampled_from([0.02, 0.15, 0.4, 0.8, 1.6])


class ReplicaMachine(RuleBasedStateMachine):
    """Runs replicas under network faults, disk faults and crashes."""

    @initialize(elect=st.booleans())
    def start(self, elect: bool) -> None:
        self.cluster = Cluster(VOTERS, OTHERS, SEED)
        if elect:
            self.cluster.run(3.0)

    @rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        self.cluster.now += seconds
        self.cluster.tick()

    @rule(seconds=SECONDS)
    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @precondition(lambda self: self.cluster.in_transit)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data: st.DataObject, keep: bool) -> None:
        last = len(self.cluster.in_transit) - 1
        self.cluster.deliver(data.draw(st.integers(0, last)), keep=keep)

    @precondition(lambda self: self.cluster.in_transit)
    @rule(data=st.data())
    def drop(self, data: st.DataObject) -> None:
        last = len(self.cluster.in_transit) - 1
        del self.cluster.in_transit[data.draw(st.integers(0, last))]

    @rule(node=NODES, count=st.integers(1, 3))
    def propose(self, node: str, count: int) -> None:
        first = len(self.cluster.commands)
        commands = [b"command %d" % (first + each) for each in range(count)]
        self.cluster.propose(node, *commands)

    @precondition(lambda self: self.cluster.leader)
    @rule(count=st.integers(1, 3))
    def propose_to_leader(self, count: int) -> None:
        self.propose(self.cluster.leader or "", count)

    @precondition(lambda self: self.cluster.leader)
    @rule(node=NODES, action=ACTIONS)
    def change_members(self, node: str, action: MemberAction) -> None:
        change = MemberChange(action, node, f"address-{node}")
        self.cluster.change_members(self.cluster.leader or "", change)

    @rule(node=NODES)
    def read(self, node: str) -> None:
        self.cluster.read(node)

    @rule(node=NODES)
    def compact(self, node: str) -> None:
        self.cluster.compact(node)

    @rule(node=NODES, outputs=st.integers(0, 3))
    def crash_during_release(self, node: str, outputs: int) -> None:
        self.cluster.nodes[node].crash_after = outputs

    @rule(node=NODES, fault=FAULTS)
    def fail_next_write(self, node: str, fault: DiskFault) -> None:
        self.cluster.nodes[node].disk.fault = fault

    @rule(node=NODES)
    def crash(self, node: str) -> None:
        self.cluster.crash(node)

    @rule(node=NODES)
    def restart(self, node: str) -> None:
        self.cluster.restart(node)

    @rule(sender=NODES, recipient=NODES)
    def block_one_way(self, sender: str, recipient: str) -> None:
        self.cluster.blocked_links.add((sender, recipient))

    @rule()
    def unblock_links(self) -> None:
        self.cluster.blocked_links.clear()

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check()

    def teardown(self) -> None:
        """End all faults: the replicas must agree again and nothing may be lost."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.cluster.run(8.0)
        self.cluster.check()
        leader = self.cluster.leader
        assert leader is not None, "no leader after all faults have ended"
        (proposal_id,) = self.cluster.propose(leader, b"last")
        self.cluster.run(1.0)
        self.cluster.check_last(proposal_id, leader)


ReplicaMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestReplicaMachine = ReplicaMachine.TestCase
