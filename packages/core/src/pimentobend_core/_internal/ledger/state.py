"""Apply committed ledger commands, with the same result on every replica."""

from collections.abc import Mapping

from pimentobend_core._internal.ledger.messages import Claimed
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimRefusal
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandBatch
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.messages import LookUpWork
from pimentobend_core._internal.ledger.messages import Settled
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.ledger.packing import Entry
from pimentobend_core._internal.ledger.packing import pack_entry
from pimentobend_core._internal.ledger.packing import unpack_entry
from pimentobend_core._internal.ledger.store import EntryStore
from pimentobend_core._internal.ledger.store import Generation
from pimentobend_core._internal.models.request import Ran

OUTCOME_TIMEOUT_MAX_S = 3600.0
# Released claims that are remembered for each key, so that a delayed copy of their
# command is refused.
RELEASED_MAX = 8

_STATE_OF_OUTCOME = {
    Ran.RAN: WorkState.RAN,
    Ran.UNKNOWN: WorkState.UNKNOWN,
    Ran.NOT_RUN: WorkState.RELEASED,
}


class LedgerState:
    """The state machine of a ledger, driven by one replicated log.

    It reads no clock: the same batches give the same state and results.
    """

    def __init__(self) -> None:
        self._clock_s = 0.0
        self._entries = EntryStore()

    @property
    def clock_s(self) -> float:
        """Return the log time in seconds."""
        return self._clock_s

    def apply(self, batch: CommandBatch) -> tuple[CommandResult, ...]:
        """Apply one committed entry and return a result for each command."""
        self._clock_s += max(0.0, batch.elapsed_s)
        self._entries.advance(self._clock_s)
        return tuple(self._apply(command) for command in batch.commands)

    def export(self) -> tuple[Generation, ...]:
        """Return every entry, the earliest generation first."""
        return self._entries.export()

    @classmethod
    def restore(
        cls, clock_s: float, generations: tuple[Generation, ...]
    ) -> "LedgerState":
        """Create a state from the values of ``clock_s`` and ``export``."""
        state = cls()
        state._clock_s = clock_s
        state._entries = EntryStore.restore(generations)
        return state

    def dump(self) -> Mapping[str, object]:
        """Return counts as JSON-compatible values."""
        return {"log_time_s": self._clock_s, "entries": len(self._entries)}

    def _get(self, digest: bytes) -> Entry | None:
        packed = self._entries.get(digest)
        return None if packed is None else unpack_entry(packed)

    def _put(self, digest: bytes, entry: Entry) -> None:
        self._entries.put(digest, pack_entry(entry))

    def _apply(self, command: Command) -> CommandResult:
        match command:
            case ClaimWork():
                return self._claim(command)
            case SettleWork():
                return self._settle(command)
            case LookUpWork():
                return self._look_up(command)

    def _claim(self, command: ClaimWork) -> Claimed | ClaimRefused:
        entry = self._get(command.digest)
        if entry is None:
            return self._grant(command, ())
        is_same_claim = entry.claim_id == command.claim_id
        if is_same_claim and entry.state is WorkState.CLAIMED:
            return Claimed(command.claim_id)
        if is_same_claim or _was_released(entry, command.claim_id):
            return ClaimRefused(ClaimRefusal.CLAIM_ENDED, 0)
        if entry.state is WorkState.RELEASED:
            return self._grant(command, entry.released)
        if entry.fingerprint != command.fingerprint:
            return ClaimRefused(ClaimRefusal.KEY_REUSED, 0)
        if entry.state is WorkState.RAN:
            return ClaimRefused(ClaimRefusal.ALREADY_RAN, entry.status)
        return ClaimRefused(self._unsettled_refusal(entry), 0)

    def _grant(self, command: ClaimWork, released: tuple[ClaimId, ...]) -> Claimed:
        outcome_timeout_s = min(
            max(0.0, command.outcome_timeout_s), OUTCOME_TIMEOUT_MAX_S
        )
        entry = Entry(
            WorkState.CLAIMED,
            command.claim_id,
            command.fingerprint,
            0,
            self._clock_s,
            self._clock_s + outcome_timeout_s,
            released,
        )
        self._put(command.digest, entry)
        return Claimed(command.claim_id)

    def _settle(self, command: SettleWork) -> Settled:
        entry = self._get(command.digest)
        if entry is None or entry.state is WorkState.RELEASED:
            self._settle_unclaimed(command, entry)
        elif entry.claim_id == command.claim_id:
            self._settle_claimed(command, entry)
        elif command.ran is Ran.NOT_RUN and entry.state is WorkState.CLAIMED:
            released = _add_released(entry.released, command.claim_id)
            self._put(command.digest, entry._replace(released=released))
        return Settled(command.claim_id)

    def _settle_claimed(self, command: SettleWork, entry: Entry) -> None:
        """Record the first outcome; a late answer may still turn UNKNOWN into RAN."""
        is_late_answer = entry.state is WorkState.UNKNOWN and command.ran is Ran.RAN
        if is_late_answer or entry.state is WorkState.CLAIMED:
            self._put_outcome(command, entry)

    def _settle_unclaimed(self, command: SettleWork, entry: Entry | None) -> None:
        """Record an outcome for a key that is free or released.

        A release that arrives before its claim is remembered, so that the
        claim is refused. Any other outcome is recorded too unless its claim was
        released, because the request may have run.
        """
        unclaimed = entry or Entry(
            WorkState.RELEASED, command.claim_id, b"", 0, self._clock_s, 0.0, ()
        )
        is_release = command.ran is Ran.NOT_RUN
        if is_release or not _was_released(unclaimed, command.claim_id):
            self._put_outcome(command, unclaimed._replace(claim_id=command.claim_id))

    def _put_outcome(self, command: SettleWork, entry: Entry) -> None:
        released = entry.released
        if command.ran is Ran.NOT_RUN:
            released = _add_released(released, command.claim_id)
        settled = entry._replace(
            state=_STATE_OF_OUTCOME[command.ran],
            status=command.status,
            changed_at=self._clock_s,
            released=released,
        )
        self._put(command.digest, settled)

    def _look_up(self, command: LookUpWork) -> WorkFound:
        entry = self._get(command.digest)
        if entry is None:
            return WorkFound(WorkState.FREE, 0, "", 0.0)
        state = entry.state
        is_claimed = state is WorkState.CLAIMED
        if is_claimed and self._unsettled_refusal(entry) is ClaimRefusal.UNKNOWN:
            state = WorkState.UNKNOWN
        age_s = self._clock_s - entry.changed_at
        return WorkFound(state, entry.status, entry.claim_id.instance_id, age_s)

    def _unsettled_refusal(self, entry: Entry) -> ClaimRefusal:
        is_in_progress = entry.state is WorkState.CLAIMED and (
            self._clock_s < entry.outcome_due_at
        )
        return ClaimRefusal.IN_PROGRESS if is_in_progress else ClaimRefusal.UNKNOWN


def _was_released(entry: Entry, claim_id: ClaimId) -> bool:
    """Return whether this claim, or a later one of the same daemon, was released.

    Only claims since the same start of the daemon are compared.
    """
    return any(
        claim_id[:2] == ended[:2] and claim_id.sequence <= ended.sequence
        for ended in entry.released
    )


def _add_released(
    released: tuple[ClaimId, ...], claim_id: ClaimId
) -> tuple[ClaimId, ...]:
    same = [ended for ended in released if ended[:2] == claim_id[:2]]
    others = tuple(ended for ended in released if ended[:2] != claim_id[:2])
    latest = max([claim_id, *same])
    return (*others, latest)[-RELEASED_MAX:]
