"""Accept table changes on a control replica and propose them to its log."""

from collections.abc import Mapping

from pimentobend_core._internal.configuration.codec import decode_command
from pimentobend_core._internal.configuration.codec import decode_snapshot
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.service_messages import ServiceInput
from pimentobend_core._internal.configuration.service_messages import ServiceOutput
from pimentobend_core._internal.configuration.service_messages import TablesAccepted
from pimentobend_core._internal.configuration.service_messages import TablesChangeReply
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.configuration.service_messages import TablesRead
from pimentobend_core._internal.configuration.service_messages import TablesReadRequest
from pimentobend_core._internal.configuration.service_messages import TablesReplaced
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.configuration.state import ConfigurationState
from pimentobend_core._internal.consensus.constants import COMMAND_BYTES
from pimentobend_core._internal.consensus.constants import COMPACT_BYTES
from pimentobend_core._internal.consensus.constants import COMPACT_ENTRIES
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.pipes import StatefulFilter

_REFUSALS = {
    Outcome.NOT_LEADER: ChangeOutcome.NOT_LEADER,
    Outcome.NO_MAJORITY: ChangeOutcome.NO_MAJORITY,
    Outcome.OVERLOADED: ChangeOutcome.OVERLOADED,
    Outcome.REJECTED: ChangeOutcome.TOO_LARGE,
    Outcome.STORAGE: ChangeOutcome.STORAGE,
    Outcome.UNKNOWN: ChangeOutcome.UNKNOWN,
}


_Confirmable = TablesReadRequest | VersionReadRequest | TablesChangeRequest


class ConfigurationService(StatefulFilter[ServiceInput, ServiceOutput]):
    """Turn submitted tables into deltas, propose them and answer after commit.

    Reads are linearisable: they wait until the index that the leader confirmed
    is applied. So do refusals that end a change, as a replica that led before it was
    paused does not know what its successor has accepted meanwhile.
    """

    def __init__(self, replica_id: str) -> None:
        self._replica_id = replica_id
        self._state = ConfigurationState()
        self._pending: dict[
            int, TablesChangeRequest
        ] = {}  # proposed changes by proposal id
        self._next_id = 1  # id of the next proposal or read
        self._leader = LeaderChanged(0, None)
        self._applied = Version(0, 0)  # position of the last applied log entry
        self._compacted_index = 0
        # Requests that wait for the confirmation of a log index, by read id.
        self._reads: dict[int, _Confirmable] = {}
        # Confirmed log index and request.
        self._confirmed_reads: list[tuple[int, _Confirmable]] = []
        self._applied_bytes = 0  # log bytes applied since the last compaction
        self._snapshot_bytes = 0  # size of the last snapshot

    @property
    def state(self) -> ConfigurationState:
        """Return the replicated state; callers must not modify it."""
        return self._state

    def handle(self, message: ServiceInput, now: float) -> tuple[ServiceOutput, ...]:
        """Handle a change, a read or an event of the replicated log."""
        match message:
            case TablesChangeRequest():
                return self._handle_change(message)
            case TablesReadRequest() | VersionReadRequest():
                return self._confirm(message)
            case ReadReady():
                return self._handle_read_ready(message)
            case Committed():
                return (*self._apply(message.entries), *self._finish_reads())
            case ProposalResult():
                return self._handle_proposed(message)
            case Restored():
                return self._restore(message)
            case LeaderChanged():
                self._leader = message
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            **self._state.dump(),
            "applied_index": self._applied.log_index,
            "waiting": len(self._pending),
            "confirming": len(self._reads) + len(self._confirmed_reads),
            "leader_id": self._leader.leader_id,
        }

    def _handle_change(self, request: TablesChangeRequest) -> tuple[ServiceOutput, ...]:
        first = self._state.answer(request.change_id)
        if first is not None:
            return (TablesChangeReply(request.token, first.outcome, first.version),)
        if self._leader.leader_id != self._replica_id:
            has_leader = self._leader.leader_id is not None
            outcome = (
                ChangeOutcome.NOT_LEADER if has_leader else ChangeOutcome.NO_MAJORITY
            )
            return (self._reply(request, outcome),)
        if self._applied.term != self._leader.term:
            # Entries of earlier terms may not be applied yet.
            return (self._reply(request, ChangeOutcome.NO_MAJORITY),)
        decided = self._decide(request)
        if isinstance(decided, ChangeOutcome):
            return self._confirm(request)
        return self._propose(request, decided)

    def _decide(self, request: TablesChangeRequest) -> bytes | ChangeOutcome:
        """Return the command that a change becomes, or why it is refused for good."""
        if not self._is_expected(request):
            return ChangeOutcome.CONFLICT
        delta = self._state.build_delta(request)
        if not self._state.is_valid(delta, request.label):
            return ChangeOutcome.INVALID
        command = encode(TablesCommand(request.change_id, delta))
        return command if len(command) <= COMMAND_BYTES else ChangeOutcome.TOO_LARGE

    def _is_expected(self, request: TablesChangeRequest) -> bool:
        tables = self._state.tables
        if request.label is None:
            return request.expected == tables.version
        return request.label.base == tables.label

    def _propose(
        self, request: TablesChangeRequest, command: bytes
    ) -> tuple[ServiceOutput, ...]:
        proposal_id = self._next_id
        self._next_id += 1
        self._pending[proposal_id] = request
        return (Propose((Proposal(proposal_id, command),)),)

    def _confirm(self, request: _Confirmable) -> tuple[ServiceOutput, ...]:
        """Ask a majority which log index has to be applied before the answer."""
        read_id = self._next_id
        self._next_id += 1
        self._reads[read_id] = request
        return (ReadIndex(read_id),)

    def _handle_read_ready(self, ready: ReadReady) -> tuple[ServiceOutput, ...]:
        request = self._reads.pop(ready.read_id, None)
        if request is None:
            return ()
        if ready.outcome is Outcome.COMMITTED:
            self._confirmed_reads.append((ready.log_index, request))
            return self._finish_reads()
        if isinstance(request, TablesReadRequest):
            return (TablesRead(request.token, None, ready.leader_id),)
        if isinstance(request, VersionReadRequest):
            return (VersionRead(request.token, None),)
        reply = self._reply(request, _REFUSALS[ready.outcome])
        return (reply._replace(leader_id=ready.leader_id),)

    def _finish_reads(self) -> tuple[ServiceOutput, ...]:
        """Answer the requests whose log index is applied."""
        applied = self._applied.log_index
        due = [request for index, request in self._confirmed_reads if index <= applied]
        self._confirmed_reads = [
            each for each in self._confirmed_reads if each[0] > applied
        ]
        return tuple(output for each in due for output in self._answer(each))

    def _answer(self, request: _Confirmable) -> tuple[ServiceOutput, ...]:
        """Answer a read, or a change that seemed to be refused, as of now."""
        if isinstance(request, TablesReadRequest):
            return (TablesRead(request.token, self._state.tables.whole()),)
        if isinstance(request, VersionReadRequest):
            return (VersionRead(request.token, self._state.tables.version),)
        if self._state.answer(request.change_id) is None:
            decided = self._decide(request)
            if isinstance(decided, ChangeOutcome):
                return (self._reply(request, decided),)
        return self._handle_change(request)

    def _apply(self, entries: tuple[Entry, ...]) -> tuple[ServiceOutput, ...]:
        deltas: list[VersionedDelta] = []
        for entry in entries:
            version = Version(entry.term, entry.log_index)
            self._applied = version
            if not entry.is_command:
                continue
            self._applied_bytes += len(entry.command)
            changed = self._state.apply(decode_command(entry.command), version)
            if changed is not None:
                deltas.append(changed)
        accepted = (TablesAccepted(tuple(deltas)),) if deltas else ()
        return (*accepted, *self._compact())

    def _handle_proposed(self, proposed: ProposalResult) -> tuple[ServiceOutput, ...]:
        request = self._pending.pop(proposed.proposal_id, None)
        if request is None:
            return ()
        if proposed.outcome is not Outcome.COMMITTED:
            return (self._reply(request, _REFUSALS[proposed.outcome]),)
        answer = self._state.answer(request.change_id)
        if answer is None:
            return (self._reply(request, ChangeOutcome.UNKNOWN),)
        label = self._state.tables.label
        return (
            TablesChangeReply(
                request.token, answer.outcome, answer.version, label=label
            ),
        )

    def _restore(self, message: Restored) -> tuple[ServiceOutput, ...]:
        snapshot = message.snapshot
        self._state.restore(decode_snapshot(snapshot.state))
        self._applied = Version(snapshot.term, snapshot.log_index)
        self._compacted_index = snapshot.log_index
        self._snapshot_bytes = len(snapshot.state)
        replaced = TablesReplaced(self._state.tables.whole())
        return (replaced, *self._finish_reads())

    def _compact(self) -> tuple[ServiceOutput, ...]:
        log_index = self._applied.log_index
        is_long = log_index - self._compacted_index >= COMPACT_ENTRIES
        is_large = self._applied_bytes >= max(COMPACT_BYTES, self._snapshot_bytes)
        if not is_long and not is_large:
            return ()
        state = encode(self._state.snapshot())
        self._compacted_index = log_index
        self._applied_bytes = 0
        self._snapshot_bytes = len(state)
        return (Compact(log_index, state),)

    def _reply(
        self, request: TablesChangeRequest, outcome: ChangeOutcome
    ) -> TablesChangeReply:
        tables = self._state.tables
        return TablesChangeReply(
            request.token,
            outcome,
            tables.version,
            self._leader.leader_id,
            tables.label,
        )
