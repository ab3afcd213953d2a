"""Search for lost changes while replicas lose their disks and rejoin."""

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
ADDRESSES = st.sampled_from("abcde")
SECONDS = st.sampled_from([0.1, 0.3, 0.8, 2.0])
STEP_S = 0.1
VOTERS = 5


class SupervisedCluster(Cluster):
    """A cluster whose supervisor admits candidates and replaces lost replicas."""

    def __init__(self) -> None:
        super().__init__("abc", "de", SEED)
        self.supervisors: dict[str, Supervisor] = {}
        self.generation = 0

    def current(self, address: str) -> str:
        """Return the newest replica id at an address."""
        ids = [each for each in self.nodes if address_of(each) == address]
        return ids[-1]

    def wipe(self, address: str) -> None:
        """Lose a replica's disk: it comes back under a new id."""
        lost = self.current(address)
        self.crash(lost)
        self.generation += 1
        replica_id = f"{address}/{self.generation}"
        self.nodes[replica_id] = Node(replica_id, NO_MEMBERS)
        self.restart(replica_id)

    def has_newest_voters(self) -> bool:
        """Return whether the voters are the newest replica of each address."""
        leader = self.nodes[self.leader].replica if self.leader else None
        if leader is None:
            return False
        state = leader.state
        newest = {self.current(address) for address in "abcde"}
        committed = state.log.members_at(state.commit_index)
        return state.members.voter_ids == newest == committed.voter_ids

    def supervise(self) -> None:
        """Run the leader's supervisor once."""
        leader_id = self.leader
        if leader_id is None:
            return
        replica = self.nodes[leader_id].replica
        assert replica is not None
        if leader_id not in self.supervisors:
            self.supervisors[leader_id] = Supervisor()
            # Proposal ids are unique in the whole test cluster.
            self.supervisors[leader_id]._next_id += 1000 * len(self.supervisors)
        supervisor = self.supervisors[leader_id]
        for proposed in list(self.outcomes.values()):
            supervisor.handle(proposed, self.now)
        members = replica.state.members
        for address in "abcde":
            candidate = self.current(address)
            is_down = self.nodes[candidate].replica is None
            is_blocked = (candidate, leader_id) in self.blocked_links
            if candidate not in members.voter_ids and not is_down and not is_blocked:
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

    def run_supervised(self, seconds: float) -> None:
        """Let time pass and run the supervisor every ``STEP_S`` seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.run(STEP_S)
            self.supervise()


class RejoinMachine(RuleBasedStateMachine):
    """Wipes one disk at a time between crashes, partitions and changes."""

    @initialize()
    def start(self) -> None:
        self.cluster = SupervisedCluster()
        self.cluster.run_supervised(8.0)
        assert self.cluster.has_newest_voters(), "the cluster did not form"

    @rule(seconds=SECONDS)
    def run_supervised(self, seconds: float) -> None:
        self.cluster.run_supervised(seconds)

    @precondition(lambda self: self.cluster.leader)
    @rule()
    def propose(self) -> None:
        command = b"command %d" % len(self.cluster.commands)
        self.cluster.propose(self.cluster.leader or "", command)

    @rule(address=ADDRESSES)
    def read(self, address: str) -> None:
        self.cluster.read(self.cluster.current(address))

    @rule(address=ADDRESSES)
    def crash(self, address: str) -> None:
        self.cluster.crash(self.cluster.current(address))

    @rule(address=ADDRESSES)
    def restart(self, address: str) -> None:
        self.cluster.restart(self.cluster.current(address))

    @rule()
    def lose_power(self) -> None:
        for address in "abcde":
            self.cluster.crash(self.cluster.current(address))
        self.cluster.in_transit.clear()

    @precondition(lambda self: self.cluster.has_newest_voters())
    @rule(address=ADDRESSES, with_power=st.booleans())
    def wipe(self, address: str, with_power: bool) -> None:
        if with_power:
            self.lose_power()
        self.cluster.wipe(address)

    @rule(address=ADDRESSES)
    def isolate(self, address: str) -> None:
        self.cluster.isolate(self.cluster.current(address))

    @rule()
    def unblock_links(self) -> None:
        self.cluster.blocked_links.clear()

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check()

    def teardown(self) -> None:
        """End all faults: five replicas must agree again and nothing may be lost."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.blocked_links.clear()
        for address in "abcde":
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


RejoinMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestRejoinMachine = RejoinMachine.TestCase
