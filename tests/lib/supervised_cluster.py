"""Run replicas whose supervisor admits candidates and replaces lost members."""

from replica_cluster import Cluster
from replica_cluster import Node

from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.supervisor import CandidateHeard
from pimentobend_core._internal.consensus.supervisor import LeaderView
from pimentobend_core._internal.consensus.supervisor import Supervisor
from pimentobend_core._internal.consensus.supervisor import SupervisorTick

STEP_S = 0.1


class SupervisedCluster(Cluster):
    """A cluster that admits candidates and replaces lost replicas.

    Each letter of ``founders`` and ``others`` is the address of a machine.
    """

    def __init__(self, founders: str, others: str, seed: int) -> None:
        super().__init__(founders, others, seed)
        self.addresses = [*founders, *others]  # of the machines that are not removed
        self.supervisors: dict[str, Supervisor] = {}
        self.generation = 0

    def current(self, address: str) -> str:
        """Return the newest replica id at an address."""
        ids = [each for each in self.nodes if address_of(each) == address]
        return ids[-1]

    def wipe(self, address: str) -> None:
        """Lose a replica's disk: it comes back under a new id."""
        self.crash(self.current(address))
        self._start_empty(address)

    def remove_machine(self, address: str) -> None:
        """Remove a machine for good."""
        self.crash(self.current(address))
        self.addresses.remove(address)

    def add_machine(self, address: str) -> None:
        """Start a machine with an empty disk at an address that was never used."""
        assert address not in self.nodes
        self.addresses.append(address)
        self._start_empty(address)

    def voters(self) -> frozenset[str]:
        """Return the voters' ids; empty without a leader, or while they change."""
        leader = self.nodes[self.leader].replica if self.leader else None
        if leader is None:
            return frozenset()
        state = leader.state
        committed = state.log.members_at(state.commit_index)
        if state.members != committed:
            return frozenset()
        return committed.voter_ids

    def has_newest_voters(self) -> bool:
        """Return whether the voters are the newest replica of each address."""
        return self.voters() == {self.current(each) for each in self.addresses}

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
        for address in self.addresses:
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

    def _start_empty(self, address: str) -> None:
        self.generation += 1
        replica_id = f"{address}/{self.generation}"
        self.nodes[replica_id] = Node(replica_id, NO_MEMBERS)
        self.restart(replica_id)
