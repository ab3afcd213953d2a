"""Run replicas over a fake network and fake disks, and check their guarantees."""

from typing import NamedTuple

from memory_disk import DiskFault
from memory_disk import MemoryDisk

from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import Persist
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import Received
from pimentobend_core._internal.consensus.messages import ReplicaInput
from pimentobend_core._internal.consensus.messages import ReplicaOutput
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.consensus.messages import Send
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.replica import Replica
from pimentobend_core._internal.consensus.state import Role
from pimentobend_core._internal.consensus.writes import batch_outputs


class QueuedMessage(NamedTuple):
    """A message in transit."""

    sender: str
    recipient: str
    message: PeerMessage


class Node:
    """One replica, its disk, and the commands that it has applied."""

    def __init__(self, replica_id: str, members: Members) -> None:
        self.replica_id = replica_id
        self.initial_members = members
        self.disk = MemoryDisk()
        self.replica: Replica | None = None
        self.applied: list[bytes] = []
        # The node crashes after it has released this many more outputs.
        self.crash_after: int | None = None


class Cluster:
    """Replicas, the messages in transit and the outcomes that were reported."""

    def __init__(self, voter_ids: str, other_ids: str = "", seed: int = 0) -> None:
        voters = tuple(Member(each, f"address-{each}") for each in voter_ids)
        self.now = 0.0
        self.in_transit: list[QueuedMessage] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.nodes = {each: Node(each, Members(voters)) for each in voter_ids}
        self.nodes.update({each: Node(each, NO_MEMBERS) for each in other_ids})
        self.outcomes: dict[int, ProposalResult] = {}
        self.reads: dict[int, ReadReady] = {}
        # The last committed index when each read started, by read id.
        self.read_floors: dict[int, int] = {}
        self.commands: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self._seed = seed
        self._starts = 0
        for replica_id in self.nodes:
            self.restart(replica_id)

    def restart(self, replica_id: str) -> None:
        """Start a node from its disk."""
        node = self.nodes[replica_id]
        stored = node.disk.load(node.initial_members)
        self._starts += 1
        seed = self._seed * 1000 + self._starts
        node.replica = Replica(replica_id, stored, seed, self.now)
        node.applied = _decode(stored.snapshot.state) if stored.snapshot else []
        node.crash_after = None

    def crash(self, replica_id: str) -> None:
        """Stop a node; what it did not sync is lost."""
        self.nodes[replica_id].replica = None

    def handle(self, replica_id: str, *messages: ReplicaInput) -> None:
        """Let a node handle messages and store their writes with one sync."""
        node = self.nodes[replica_id]
        if node.replica is None:
            return
        outputs: list[ReplicaOutput] = []
        for message in messages:
            outputs.extend(node.replica.handle(message, self.now))
            self._check_leader(node)
        batch = batch_outputs(outputs)
        try:
            for write in batch.writes:
                if isinstance(write, Persist):
                    node.disk.append(write.records)
                else:
                    node.disk.save(write.snapshot, write.records)
        except DiskError:
            self.crash(replica_id)
            return
        self._release(node, batch.released)

    def propose(self, replica_id: str, *commands: bytes) -> list[int]:
        """Propose commands and return the proposals' ids."""
        proposals = []
        for command in commands:
            proposal_id = len(self.commands) + 1
            self.commands[proposal_id] = command
            proposals.append(Proposal(proposal_id, command))
        self.handle(replica_id, Propose(tuple(proposals)))
        return [proposal.proposal_id for proposal in proposals]

    def change_members(self, replica_id: str, change: MemberChange) -> int:
        """Propose a change of members and return the proposal's id."""
        proposal_id = len(self.commands) + 1
        self.commands[proposal_id] = b""
        self.handle(replica_id, ChangeMembers(proposal_id, change))
        return proposal_id

    def read(self, replica_id: str) -> ReadReady | None:
        """Start a read; its answer is checked to see all earlier committed entries."""
        read_id = len(self.read_floors) + 1
        self.read_floors[read_id] = max(self.committed, default=0)
        self.handle(replica_id, ReadIndex(read_id))
        return self.reads.get(read_id)

    def _check_read(self, ready: ReadReady) -> None:
        """Check that a read sees all entries committed before it started."""
        self.reads[ready.read_id] = ready
        if ready.outcome is Outcome.COMMITTED:
            floor = self.read_floors[ready.read_id]
            assert ready.log_index >= floor, "a read missed committed entries"

    def compact(self, replica_id: str) -> None:
        """Let a node replace its applied entries by a snapshot."""
        node = self.nodes[replica_id]
        if node.replica is not None:
            state = _encode(node.applied)
            self.handle(replica_id, Compact(node.replica.commit_index, state))

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver a message in transit; with ``keep`` it will be delivered again."""
        queued = self.in_transit[position]
        if not keep:
            del self.in_transit[position]
        if (queued.sender, queued.recipient) not in self.blocked_links:
            self.handle(queued.recipient, Received(queued.sender, queued.message))

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Let time pass and deliver all messages on links that are not blocked."""
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            self.tick()
            for _ in range(len(self.in_transit)):
                self.deliver(0)

    def tick(self) -> None:
        """Run the ticks that are due."""
        for replica_id, node in self.nodes.items():
            if node.replica is not None and node.replica.next_tick <= self.now:
                self.handle(replica_id, Tick())

    def isolate(self, replica_id: str) -> None:
        """Block the links between a node and all others, both ways."""
        for other in self.nodes:
            self.blocked_links.update({(replica_id, other), (other, replica_id)})

    def heal(self) -> None:
        """Unblock all links, restart stopped nodes and drop the messages in transit."""
        self.blocked_links.clear()
        self.in_transit.clear()
        for replica_id, node in self.nodes.items():
            node.disk.fault = None
            node.crash_after = None
            if node.replica is None:
                self.restart(replica_id)

    def check_last(self, proposal_id: int, leader: str) -> None:
        """Check that a last proposal is committed and nothing before it is lost."""
        assert self.outcomes[proposal_id].outcome is Outcome.COMMITTED
        applied = self.nodes[leader].applied
        for entry in self.committed.values():
            assert not entry.is_command or entry.command in applied, "lost"

    @property
    def leader(self) -> str | None:
        """Return the leader of the highest term."""
        running = [each.replica for each in self.nodes.values() if each.replica]
        leading = [each for each in running if each.state.role is Role.LEADER]
        if not leading:
            return None
        return max(leading, key=lambda each: each.state.term).state.replica_id

    def check(self) -> None:
        """Assert the invariants that hold at all times."""
        running = [each for each in self.nodes.values() if each.replica is not None]
        longest = max((node.applied for node in running), key=len, default=[])
        for node in running:
            assert longest[: len(node.applied)] == node.applied, "states differ"
        self._check_logs_match([each.replica for each in running if each.replica])
        self._check_outcomes()

    def _check_logs_match(self, replicas: list[Replica]) -> None:
        for replica in replicas:
            log = replica.state.log
            for index in range(log.base.log_index + 1, log.last_index + 1):
                for other in replicas:
                    theirs = other.state.log
                    if theirs.term_at(index) != log.term_at(index):
                        continue
                    if index <= theirs.base.log_index:
                        continue
                    assert theirs.entry(index) == log.entry(index), "logs differ"
                    before = theirs.term_at(index - 1)
                    assert before == log.term_at(index - 1), "logs differ before"

    def _check_outcomes(self) -> None:
        ran = {entry.command for entry in self.committed.values()}
        for proposal_id, proposed in self.outcomes.items():
            command = self.commands[proposal_id]
            if proposed.outcome is Outcome.COMMITTED:
                entry = self.committed[proposed.log_index]
                assert entry.command == command, "a result names another entry"
            elif proposed.outcome is not Outcome.UNKNOWN and command:
                assert command not in ran, "a refused command ran"

    def _check_leader(self, node: Node) -> None:
        if node.replica is None or node.replica.state.role is not Role.LEADER:
            return
        state = node.replica.state
        known = self.leaders.setdefault(state.term, node.replica_id)
        assert known == node.replica_id, "two leaders in one term"
        for index, entry in self.committed.items():
            if entry.term < state.term and index > state.log.base.log_index:
                assert index <= state.log.last_index, "a leader lacks an entry"
                assert state.log.entry(index) == entry, "a leader has another entry"

    def _release(self, node: Node, outputs: tuple[ReplicaOutput, ...]) -> None:
        for output in outputs:
            if node.crash_after is not None:
                node.crash_after -= 1
                if node.crash_after < 0:
                    self.crash(node.replica_id)
                    return
            self._handle_output(node, output)

    def _handle_output(self, node: Node, output: ReplicaOutput) -> None:
        if isinstance(output, Send):
            queued = QueuedMessage(node.replica_id, output.recipient, output.message)
            self.in_transit.append(queued)
        elif isinstance(output, Committed):
            for entry in output.entries:
                known = self.committed.setdefault(entry.log_index, entry)
                assert known == entry, "a committed entry was replaced"
                if entry.is_command:
                    node.applied.append(entry.command)
        elif isinstance(output, Restored):
            node.applied = _decode(output.snapshot.state)
        elif isinstance(output, ProposalResult):
            assert output.proposal_id not in self.outcomes, "a proposal has two results"
            self.outcomes[output.proposal_id] = output
        elif isinstance(output, ReadReady):
            self._check_read(output)


def _encode(applied: list[bytes]) -> bytes:
    return b"\n".join(applied)


def _decode(state: bytes) -> list[bytes]:
    return state.split(b"\n") if state else []


__all__ = ["Cluster", "DiskFault", "Node"]
