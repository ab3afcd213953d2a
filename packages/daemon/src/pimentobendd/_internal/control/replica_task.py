"""Run a replica of the log with its disk and its peers."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.queue

from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.consensus.codec import decode_envelope
from pimentobend_core._internal.consensus.codec import encode_envelope
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import Outcome
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
from pimentobend_core._internal.consensus.supervisor import LeaderView
from pimentobend_core._internal.consensus.writes import batch_outputs
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ports import ClockPort

REOPEN_INTERVAL_S = 1.0  # pause between two attempts to load from a faulty disk
MAX_BATCH_INPUTS = 256  # at most so many inputs share one sync of the disk

LogOutput = Committed | Restored | ProposalResult | ReadReady | LeaderChanged


class ReplicaSettings(NamedTuple):
    """Settings of a replica, whose id begins with its link address."""

    group: str
    replica_id: str
    # Members if the data folder is empty; none if the replica joins later.
    first_members: Members
    seed: int
    # Ids whose messages are accepted in addition to those of members; None
    # accepts all, for ids that are never reused.
    listed_replicas: frozenset[str] | None


class ReplicaTask(Outlet[ReplicaInput]):
    """Runs a replica; inputs that arrive during a sync share the next sync."""

    def __init__(
        self,
        settings: ReplicaSettings,
        disk: DiskTask,
        link: Transport,
        outlet: Outlet[LogOutput],
        clock: ClockPort,
    ) -> None:
        self._settings = settings
        self._disk = disk
        self._link = link
        self._outlet = outlet
        self._clock = clock
        self._inbox: Any = eventlet.queue.LightQueue()
        self._replica: Replica | None = None
        self._applied_index = 0
        self._pending_proposals: set[int] = set()
        self._pending_reads: set[int] = set()
        self._disk_faults = 0
        self._greenlet: Any = None

    @property
    def name(self) -> str:
        """Return the name of the task in dumps."""
        return f"replica-{self._settings.group}"

    @property
    def kind(self) -> str:
        """Return the kind of the frames between the replicas."""
        return f"replica.{self._settings.group}"

    def start(self) -> None:
        """Load the stored state and start; raise ``DiskError`` if loading fails."""
        self._disk.start()
        self._open(self._disk.load(self._settings.first_members))
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop at once, as a crash would, without handling queued inputs."""
        self._greenlet.kill()
        self._disk.stop()

    def put(self, message: ReplicaInput) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    def handle_frame(self, frame: Frame) -> None:
        """Handle another replica's frame; raise ``FrameError`` if it is refused.

        If ids are addresses, the address of a dead replica may by now belong to
        another cluster, so only members and the replicas that the settings list
        are accepted.
        """
        try:
            envelope = decode_envelope(frame.payload)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        if envelope.recipient != self._settings.replica_id:
            raise FrameError(
                "the frame is addressed to another replica", context=envelope.recipient
            )
        if not self._is_accepted_sender(envelope.sender):
            raise FrameError(
                "the sender is no member of the cluster", context=envelope.sender
            )
        self.put(Received(envelope.sender, envelope.message))

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        state: dict[str, object] = {
            "applied_index": self._applied_index,
            "in_flight": len(self._pending_proposals),
            "disk_faults": self._disk_faults,
        }
        if self._replica is not None:
            state.update(self._replica.dump())
        return state

    def leader_view(self) -> LeaderView | None:
        """Return the leader's view of the cluster; None unless this replica leads."""
        replica = self._replica
        if replica is None or replica.state.leader_id != replica.state.replica_id:
            return None
        members = replica.state.members
        learners = (member.replica_id for member in members.learners)
        return LeaderView(
            replica.state.replica_id,
            members,
            replica.ack_age_s(self._clock.now()),
            frozenset(each for each in learners if replica.has_caught_up(each)),
        )

    def is_member(self) -> bool:
        """Return whether this replica's own log lists it as a member."""
        return self._settings.replica_id in self._member_ids()

    def _is_accepted_sender(self, sender: str) -> bool:
        listed_replicas = self._settings.listed_replicas
        return (
            listed_replicas is None
            or sender in listed_replicas
            or sender in self._member_ids()
        )

    def _member_ids(self) -> frozenset[str]:
        """Return the members' ids; empty for a replica that waits to be added."""
        members = self._settings.first_members.all
        if self._replica is not None:
            members += self._replica.state.members.all
        return frozenset(member.replica_id for member in members)

    def _run(self) -> None:
        while True:
            if self._replica is None:
                self._reopen()
            else:
                self._step(self._replica)

    def _step(self, replica: Replica) -> None:
        """Handle the waiting inputs, sync their writes once, then send the outputs."""
        messages = self._next_messages(replica.next_tick)
        outputs: list[ReplicaOutput] = []
        for message in messages:
            self._pending_proposals.update(_proposal_ids(message))
            if isinstance(message, ReadIndex):
                self._pending_reads.add(message.read_id)
            outputs.extend(replica.handle(message, self._clock.now()))
        batch = batch_outputs(outputs)
        synced = self._disk.write(batch.writes) if batch.writes else 0
        if synced < len(batch.writes):
            self._handle_disk_fault(messages, can_refuse=synced == 0)
            return
        for output in batch.released:
            self._release(output)

    def _next_messages(self, due: float) -> list[ReplicaInput]:
        wait_s = max(0.0, due - self._clock.now())
        try:
            messages = [self._inbox.get(timeout=wait_s)]
        except eventlet.queue.Empty:
            return [Tick()]
        while len(messages) < MAX_BATCH_INPUTS and not self._inbox.empty():
            messages.append(self._inbox.get())
        return [*messages, Tick()]

    def _release(self, output: ReplicaOutput) -> None:
        match output:
            case Send():
                payload = encode_envelope(
                    self._settings.replica_id, output.recipient, output.message
                )
                self._link.send(address_of(output.recipient), self.kind, payload)
            case Committed():
                self._release_entries(output)
            case Restored():
                self._release_snapshot(output)
            case ProposalResult():
                self._pending_proposals.discard(output.proposal_id)
                self._outlet.put(output)
            case ReadReady():
                self._pending_reads.discard(output.read_id)
                self._outlet.put(output)
            case LeaderChanged():
                self._outlet.put(output)

    def _release_entries(self, committed: Committed) -> None:
        """Pass on the entries that were not applied before the disk was reopened."""
        entries = tuple(
            entry
            for entry in committed.entries
            if entry.log_index > self._applied_index
        )
        if entries:
            self._applied_index = entries[-1].log_index
            self._outlet.put(Committed(entries))

    def _release_snapshot(self, restored: Restored) -> None:
        if restored.snapshot.log_index > self._applied_index:
            self._applied_index = restored.snapshot.log_index
            self._outlet.put(restored)

    def _open(self, stored: StoredState) -> None:
        self._replica = Replica(
            self._settings.replica_id, stored, self._settings.seed, self._clock.now()
        )
        self._outlet.put(LeaderChanged(stored.term, None))
        if stored.snapshot is not None:
            self._release_snapshot(Restored(stored.snapshot))

    def _handle_disk_fault(
        self, messages: list[ReplicaInput], *, can_refuse: bool
    ) -> None:
        """Reload the stored state; refuse only proposals that were surely not written.

        The outcome of all other pending proposals is unknown; pending reads fail.
        """
        self._replica = None
        self._disk_faults += 1
        try:
            stored = self._disk.load(self._settings.first_members)
        except DiskError:
            self._end_pending(set())
            return
        refused: set[int] = set()
        if can_refuse:
            refused.update(*(_proposal_ids(message) for message in messages))
        self._end_pending(refused)
        self._open(stored)

    def _end_pending(self, refused: set[int]) -> None:
        for proposal_id in sorted(self._pending_proposals):
            is_refused = proposal_id in refused
            outcome = Outcome.STORAGE if is_refused else Outcome.UNKNOWN
            self._outlet.put(ProposalResult(proposal_id, outcome))
        self._pending_proposals.clear()
        for read_id in sorted(self._pending_reads):
            self._outlet.put(ReadReady(read_id, Outcome.STORAGE))
        self._pending_reads.clear()
        self._outlet.put(LeaderChanged(0, None))

    def _reopen(self) -> None:
        """Refuse requests for ``REOPEN_INTERVAL_S``, then try to load again."""
        with eventlet.Timeout(REOPEN_INTERVAL_S, False):
            while True:
                self._refuse(self._inbox.get())
        try:
            self._open(self._disk.load(self._settings.first_members))
        except DiskError:
            self._disk_faults += 1

    def _refuse(self, message: ReplicaInput) -> None:
        if isinstance(message, ReadIndex):
            self._outlet.put(ReadReady(message.read_id, Outcome.STORAGE))
        for proposal_id in _proposal_ids(message):
            self._outlet.put(ProposalResult(proposal_id, Outcome.STORAGE))


def _proposal_ids(message: ReplicaInput) -> tuple[int, ...]:
    if isinstance(message, Propose):
        return tuple(proposal.proposal_id for proposal in message.proposals)
    if isinstance(message, ChangeMembers):
        return (message.proposal_id,)
    return ()
