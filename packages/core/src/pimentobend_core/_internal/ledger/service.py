"""Serve the ledger on a control replica, on top of one replicated log."""

from collections.abc import Mapping

from pimentobend_core._internal.ledger.codec import decode_batch
from pimentobend_core._internal.ledger.codec import decode_snapshot
from pimentobend_core._internal.ledger.codec import encode_batch
from pimentobend_core._internal.ledger.codec import encode_snapshot
from pimentobend_core._internal.ledger.messages import CommandBatch
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.service_messages import CompactLog
from pimentobend_core._internal.ledger.service_messages import EntryAccepted
from pimentobend_core._internal.ledger.service_messages import EntryCommitted
from pimentobend_core._internal.ledger.service_messages import EntryUnserved
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.ledger.service_messages import ProposeEntry
from pimentobend_core._internal.ledger.service_messages import ServiceInput
from pimentobend_core._internal.ledger.service_messages import ServiceOutput
from pimentobend_core._internal.ledger.service_messages import StateRestored
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason
from pimentobend_core._internal.ledger.state import LedgerState
from pimentobend_core._internal.pipes import StatefulFilter

BATCH_COMMANDS = 256  # at most this many commands share a log entry
PIPELINE_ENTRIES = 2  # proposed at a time: one being synced and one in transit
WAITING_COMMANDS = 8192  # further commands are refused as OVERLOADED
COMPACT_ENTRIES = 10_000  # the log is compacted after this many applied entries
RESULTS_KEPT = 1024  # applied entries whose results wait for the proposal's outcome


class LedgerService(StatefulFilter[ServiceInput, ServiceOutput]):
    """Batches commands into log entries, applies committed entries, and replies.

    While fewer than ``pipeline_entries`` proposed entries have no outcome, a
    command is proposed at once; under load it waits and shares its entry.
    """

    def __init__(
        self,
        batch_commands: int = BATCH_COMMANDS,
        pipeline_entries: int = PIPELINE_ENTRIES,
    ) -> None:
        self._batch_commands = batch_commands
        self._pipeline_entries = pipeline_entries
        self._state = LedgerState()
        self._applied_index = 0
        self._compacted_index = 0
        self._waiting: list[LedgerRequest] = []
        # Requests of each proposed entry without an outcome, by proposal id.
        self._in_flight: dict[int, tuple[LedgerRequest, ...]] = {}
        self._accepted: dict[int, int] = {}  # proposal ids by log index
        self._results: dict[int, tuple[CommandResult, ...]] = {}  # by log index
        self._next_id = 1
        self._proposed_at: float | None = None

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry that was applied."""
        return self._applied_index

    def handle(self, message: ServiceInput, now: float) -> tuple[ServiceOutput, ...]:
        """Handle a daemon's command or the outcome of an entry."""
        match message:
            case LedgerRequest():
                if len(self._waiting) >= WAITING_COMMANDS:
                    overloaded = Unserved(UnservedReason.OVERLOADED, None)
                    return (_reply(message, overloaded),)
                self._waiting.append(message)
                return self._propose(now)
            case EntryCommitted():
                outputs = self._apply(message)
            case EntryAccepted():
                self._accepted[message.log_index] = message.proposal_id
                outputs = self._answer(message.log_index)
            case EntryUnserved():
                outputs = self._fail(message)
            case StateRestored():
                self._restore(message)
                return ()
        return outputs + self._propose(now)

    def dump(self) -> Mapping[str, object]:
        """Return the service's state as JSON-compatible values."""
        return {
            "applied_index": self._applied_index,
            "compacted_index": self._compacted_index,
            "waiting": len(self._waiting),
            "in_flight": len(self._in_flight),
            **self._state.dump(),
        }

    def _propose(self, now: float) -> tuple[ServiceOutput, ...]:
        if not self._waiting or len(self._in_flight) >= self._pipeline_entries:
            return ()
        requests = tuple(self._waiting[: self._batch_commands])
        del self._waiting[: self._batch_commands]
        elapsed_s = 0.0 if self._proposed_at is None else now - self._proposed_at
        self._proposed_at = now
        batch = CommandBatch(elapsed_s, tuple(request.command for request in requests))
        proposal_id = self._next_id
        self._next_id += 1
        self._in_flight[proposal_id] = requests
        return (ProposeEntry(proposal_id, encode_batch(batch)),)

    def _apply(self, message: EntryCommitted) -> tuple[ServiceOutput, ...]:
        if message.log_index <= self._applied_index:
            return ()
        self._applied_index = message.log_index
        if not message.payload:
            return ()
        results = self._state.apply(decode_batch(message.payload))
        self._results[message.log_index] = results
        if len(self._results) > RESULTS_KEPT:
            del self._results[next(iter(self._results))]
        return self._answer(message.log_index) + self._compact()

    def _answer(self, log_index: int) -> tuple[ServiceOutput, ...]:
        if log_index not in self._accepted or log_index not in self._results:
            return ()
        requests = self._in_flight.pop(self._accepted.pop(log_index), ())
        results = self._results.pop(log_index)
        return tuple(map(_reply, requests, results))

    def _fail(self, message: EntryUnserved) -> tuple[ServiceOutput, ...]:
        """Fail an entry's commands and the waiting ones.

        The entry of the waiting commands would fail for the same reason.
        """
        requests = self._in_flight.pop(message.proposal_id, ())
        failed = tuple(_reply(request, message.unserved) for request in requests)
        self._proposed_at = None
        # Waiting commands were not proposed, so they cannot be committed later.
        reason = message.unserved.reason
        if reason is UnservedReason.LOST:
            reason = UnservedReason.NO_MAJORITY
        unserved = message.unserved._replace(reason=reason)
        waiting = tuple(_reply(request, unserved) for request in self._waiting)
        self._waiting.clear()
        return failed + waiting

    def _compact(self) -> tuple[ServiceOutput, ...]:
        if self._applied_index - self._compacted_index < COMPACT_ENTRIES:
            return ()
        self._compacted_index = self._applied_index
        return (CompactLog(self._applied_index, encode_snapshot(self._state)),)

    def _restore(self, message: StateRestored) -> None:
        if message.log_index <= self._applied_index:
            return
        self._state = decode_snapshot(message.state)
        self._applied_index = message.log_index
        self._compacted_index = message.log_index


def _reply(request: LedgerRequest, result: CommandResult | Unserved) -> LedgerReply:
    return LedgerReply(request.sender, request.token, result)
