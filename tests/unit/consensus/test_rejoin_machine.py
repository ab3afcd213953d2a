"""Search for lost changes while replicas lose their disks and rejoin."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from supervised_cluster import SupervisedCluster

SEED = 9
NUMBERS = st.integers(0, 6)  # of a machine, modulo the number of machines
SECONDS = st.sampled_from([0.1, 0.3, 0.8, 2.0])
NEW_ADDRESSES = "fghijklmnopqrstuvwxyz"


class RejoinMachine(RuleBasedStateMachine):
    """Loses one disk or machine at a time between crashes, partitions and changes."""

    others = "de"  # machines beside the three founders

    @initialize()
    def start(self) -> None:
        self.cluster = SupervisedCluster("abc", self.others, SEED)
        self.unused = iter(NEW_ADDRESSES)
        self.cluster.run_supervised(8.0)
        assert self.cluster.has_newest_voters(), "the cluster did not form"

    def address(self, number: int) -> str:
        """Return the address of a machine that is not removed."""
        addresses = self.cluster.addresses
        return addresses[number % len(addresses)]

    @rule(seconds=SECONDS)
    def run_supervised(self, seconds: float) -> None:
        self.cluster.run_supervised(seconds)

    @precondition(lambda self: self.cluster.leader)
    @rule()
    def propose(self) -> None:
        command = b"command %d" % len(self.cluster.commands)
        self.cluster.propose(self.cluster.leader or "", command)

    @rule(number=NUMBERS)
    def read(self, number: int) -> None:
        self.cluster.read(self.cluster.current(self.address(number)))

    @rule(number=NUMBERS)
    def crash(self, number: int) -> None:
        self.cluster.crash(self.cluster.current(self.address(number)))

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.cluster.restart(self.cluster.current(self.address(number)))

    @rule()
    def lose_power(self) -> None:
        for address in self.cluster.addresses:
            self.cluster.crash(self.cluster.current(address))
        self.cluster.in_transit.clear()

    @precondition(lambda self: self.cluster.has_newest_voters())
    @rule(number=NUMBERS, with_power=st.booleans())
    def wipe(self, number: int, with_power: bool) -> None:
        if with_power:
            self.lose_power()
        self.cluster.wipe(self.address(number))

    @precondition(lambda self: self.cluster.has_newest_voters())
    @rule(number=NUMBERS, seconds=SECONDS)
    def replace(self, number: int, seconds: float) -> None:
        self.cluster.remove_machine(self.address(number))
        self.cluster.run_supervised(seconds)
        self.cluster.add_machine(next(self.unused))

    @rule(number=NUMBERS)
    def isolate(self, number: int) -> None:
        self.cluster.isolate(self.cluster.current(self.address(number)))

    @rule()
    def unblock_links(self) -> None:
        self.cluster.blocked_links.clear()

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check()

    def teardown(self) -> None:
        """End all faults: the machines must agree again and nothing may be lost."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.blocked_links.clear()
        for address in cluster.addresses:
            current = cluster.current(address)
            if cluster.nodes[current].replica is None:
                cluster.restart(current)
        cluster.run_supervised(25.0)
        cluster.check()
        assert cluster.has_newest_voters(), "the cluster did not recover"
        leader = cluster.leader or ""
        (proposal_id,) = cluster.propose(leader, b"last")
        cluster.run_supervised(1.0)
        cluster.check_last(proposal_id, leader)


class ThreeMachines(RejoinMachine):
    """The same with as many machines as a cluster needs at least."""

    others = ""


RUN = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestRejoinMachine = RejoinMachine.TestCase
TestThreeMachines = ThreeMachines.TestCase
TestRejoinMachine.settings = TestThreeMachines.settings = RUN
