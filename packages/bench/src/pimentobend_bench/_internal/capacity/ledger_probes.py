"""Probes that measure the ledger's state, its commands and their replication."""

import hashlib
from collections.abc import Callable

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_core._internal.consensus.codec import decode_message
from pimentobend_core._internal.consensus.codec import encode_message
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.ledger.codec import decode_batch
from pimentobend_core._internal.ledger.codec import encode_batch
from pimentobend_core._internal.ledger.codec import encode_snapshot
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandBatch
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.state import LedgerState
from pimentobend_core._internal.models.request import Ran

_KEY_COUNTS = (5_000, 10_000, 20_000, 40_000)
_BATCH_SIZES = (1, 4, 16, 64)
_EPOCH = 1_700_000_000_000_000_000
_OUTCOME_TIMEOUT_S = 10.0
_COMMANDS_PER_BATCH = 64


def make_claim(number: int) -> ClaimWork:
    """Return the claim of key ``number``."""
    return ClaimWork(
        digest=_digest("key", number, 16),
        claim_id=ClaimId(f"instance-{number % 1_800:04d}", _EPOCH, number),
        fingerprint=_digest("request", number, 8),
        outcome_timeout_s=_OUTCOME_TIMEOUT_S,
    )


def make_settlement(number: int) -> SettleWork:
    """Return the command that settles claim ``number`` as run."""
    claim = make_claim(number)
    return SettleWork(claim.digest, claim.claim_id, Ran.RAN, 200)


def fill_ledger(keys: int) -> LedgerState:
    """Return a ledger with ``keys`` keys whose work has run."""
    state = LedgerState()
    for first in range(0, keys, _COMMANDS_PER_BATCH):
        numbers = range(first, min(first + _COMMANDS_PER_BATCH, keys))
        for make in (make_claim, make_settlement):
            commands: tuple[Command, ...] = tuple(make(number) for number in numbers)
            state.apply(decode_batch(encode_batch(CommandBatch(0.01, commands))))
    return state


def _encode_claims(count: int) -> bytes:
    return encode_batch(CommandBatch(0.01, tuple(map(make_claim, range(count)))))


def _encode_append(count: int) -> bytes:
    entry = Entry(3, 1_000_000, _encode_claims(count))
    return encode_message(AppendEntries(3, 999_999, 3, (entry,), 999_999, 1_000.0))


class LedgerMemoryProbe(MemoryProbe):
    """Store keys whose work has run."""

    name = "memory-ledger-key"
    sized_by = "keys"
    sizes = _KEY_COUNTS
    mechanism = "core ledger.state"

    def warm_up(self) -> None:
        """Fill a small ledger."""
        fill_ledger(4)

    def build(self, size: int) -> object:
        """Return a ledger of ``size`` keys."""
        return fill_ledger(size)


class LedgerSnapshotProbe(BytesProbe):
    """Encode the complete ledger, as sent to a replica that has none of it."""

    name = "bytes-ledger-snapshot"
    sized_by = "keys"
    sizes = _KEY_COUNTS
    mechanism = "core ledger.codec"

    def encode(self, size: int) -> bytes:
        """Return the encoded snapshot."""
        return encode_snapshot(fill_ledger(size))


class ClaimCpuProbe(CpuProbe):
    """Decode one log entry of claims and apply it."""

    name = "cpu-ledger-claim"
    sized_by = "claims in one log entry"
    sizes = _BATCH_SIZES
    mechanism = "core ledger.state, ledger.codec"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that applies the entry to an empty ledger."""
        payload = _encode_claims(size)
        return lambda: LedgerState().apply(decode_batch(payload))


class AppendBytesProbe(BytesProbe):
    """Encode the message that replicates one log entry of claims."""

    name = "bytes-ledger-replication"
    sized_by = "claims in one log entry"
    sizes = _BATCH_SIZES
    mechanism = "core consensus.codec, ledger.codec"

    def encode(self, size: int) -> bytes:
        """Return the message to one replica."""
        return _encode_append(size)


class AppendCpuProbe(CpuProbe):
    """Encode and decode the message that replicates an entry."""

    name = "cpu-ledger-replication"
    sized_by = "claims in one log entry"
    sizes = _BATCH_SIZES
    mechanism = "core consensus.codec"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that encodes and decodes the message."""
        message = decode_message(_encode_append(size))
        return lambda: decode_message(encode_message(message))


def _digest(kind: str, number: int, size: int) -> bytes:
    return hashlib.blake2b(f"{kind}/{number}".encode(), digest_size=size).digest()


PROBES = (
    LedgerMemoryProbe(),
    LedgerSnapshotProbe(),
    ClaimCpuProbe(),
    AppendBytesProbe(),
    AppendCpuProbe(),
)
