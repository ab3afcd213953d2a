"""Search for a lost change while replicas lose their disks and come back."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from replica_cluster import Cluster
from replica_cluster import Node

from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.supervisor import CandidateHeard
from pimentobend_core._internal.consensus.supervisor import LeaderView
from pimentobend_core._internal.consensus.supervisor import Supervisor
from pimentobend_core._internal.consensus.supervisor import SupervisorTick

SEED = 9
PLACES = st.sampled_from("abcde")
SECONDS = st.sampled_from([0.1, 0.3, 0.8, 2.0])
STEP_S = 0.1
VOTERS = 5


class SupervisedCluster(Cluster):
    """Let each leader's supervisor admit candidates and replace lost replicas."""

    def __init__(self) -> None:
        super().__init__("abc", "de", SEED)
        self.supervisors: dict[str, Supervisor] = {}
        self.generation = 0

    def current(self, place: str) -> str:
        """Return the newest id at a place."""
        ids = [each for each in self.nodes if address_of(each) == place]
        return ids[-1]

    def wipe(self, place: str) -> None:
        """Lose a disk: the machine comes back under a new id."""
        lost = self.current(place)
        self.crash(lost)
        self.generation += 1
        replica_id = f"{place}/{self.generation}"
        self.nodes[replica_id] = Node(replica_id, NO_MEMBERS)
        self.restart(replica_id)

    def is_whole(self) -> bool:
        """Say whether the leader counts the newest replica of each place."""
        leader = self.nodes[self.leader].replica if self.leader else None
        if leader is None:
            return False
        state = leader.state
        newest = {self.current(place) for place in "abcde"}
        committed = state.log.members_at(state.commit_index)
        return state.members.voter_ids == newest == committed.voter_ids

    def supervise(self) -> None:
        """Let the leader's supervisor take its next step."""
        leader_id = self.leader
        if leader_id is None:
            return
        replica = self.nodes[leader_id].replica
        assert replica is not None
        if leader_id not in self.supervisors:
            self.supervisors[leader_id] = Supervisor()
            # the fake cluster's proposals share one numbering
            self.supervisors[leader_id]._next_id += 1000 * len(self.supervisors)
        supervisor = self.supervisors[leader_id]
        for proposed in list(self.outcomes.values()):
            supervisor.handle(proposed, self.now)
        members = replica.state.members
        for place in "abcde":
            candidate = self.current(place)
            is_down = self.nodes[candidate].replica is None
            is_cut = (candidate, leader_id) in self.cut
            if candidate not in members.voter_ids and not is_down and not is_cut:
                supervisor.handle(CandidateHeard(candidate), self.now)
        learners = (each.replica_id for each in members.learners)
        view = LeaderView(
            leader_id,
            members,
            replica.ack_age_s(self.now),
            frozenset(each for each in learners if replica.has_caught_up(each)),
        )
        for change in supervisor.handle(SupervisorTick(view), self.now):
            self.commands[change.proposal_id] = b""
            self.handle(leader_id, change)

    def take_part(self, seconds: float) -> None:
        """Let time pass with supervision."""
        for _ in range(round(seconds / STEP_S)):
            self.run(STEP_S)
            self.supervise()


class RejoinMachine(RuleBasedStateMachine):
    """Wipe one disk at a time between crashes, cuts and changes."""

    @initialize()
    def start(self) -> None:
        self.cluster = SupervisedCluster()
        self.cluster.take_part(8.0)
        assert self.cluster.is_whole(), "five replicas form the cluster"

    @rule(seconds=SECONDS)
    def take_part(self, seconds: float) -> None:
        self.cluster.take_part(seconds)

    @precondition(lambda self: self.cluster.leader)
    @rule()
    def propose(self) -> None:
        command = b"command %d" % len(self.cluster.commands)
        self.cluster.propose(self.cluster.leader or "", command)

    @rule(place=PLACES)
    def read(self, place: str) -> None:
        self.cluster.read(self.cluster.current(place))

    @rule(place=PLACES)
    def crash(self, place: str) -> None:
        self.cluster.crash(self.cluster.current(place))

    @rule(place=PLACES)
    def restart(self, place: str) -> None:
        self.cluster.restart(self.cluster.current(place))

    @rule()
    def lose_power(self) -> None:
        for place in "abcde":
            self.cluster.crash(self.cluster.current(place))
        self.cluster.flights.clear()

    @precondition(lambda self: self.cluster.is_whole())
    @rule(place=PLACES, with_power=st.booleans())
    def wipe(self, place: str, with_power: bool) -> None:
        if with_power:
            self.lose_power()
        self.cluster.wipe(place)

    @rule(place=PLACES)
    def isolate(self, place: str) -> None:
        self.cluster.isolate(self.cluster.current(place))

    @rule()
    def mend_cuts(self) -> None:
        self.cluster.cut.clear()

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check()

    def teardown(self) -> None:
        """Let all faults end: five replicas agree again and nothing is lost."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.cut.clear()
        for place in "abcde":
            current = cluster.current(place)
            if cluster.nodes[current].replica is None:
                cluster.restart(current)
        cluster.take_part(25.0)
        cluster.check()
        assert cluster.is_whole(), "the cluster is whole again"
        leader = cluster.leader or ""
        (proposal_id,) = cluster.propose(leader, b"last")
        cluster.take_part(1.0)
        cluster.check_last(proposal_id, leader)


RejoinMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestRejoinMachine = RejoinMachine.TestCase
