"""Encode what the ledger knows about a key into few bytes."""

from typing import NamedTuple

import msgspec

from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import WorkState


class Entry(NamedTuple):
    """What the ledger knows about one key; times are in seconds of log time."""

    state: WorkState
    claim_id: ClaimId
    fingerprint: bytes
    status: int  # HTTP status of the answer; 0 if there is none
    changed_at: float
    outcome_due_at: float  # without an outcome by then, it is unknown
    released: tuple[ClaimId, ...]  # claims of the key that must not be granted again


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


def pack_entry(entry: Entry) -> bytes:
    """Encode an entry for the store."""
    return _ENCODER.encode(entry)


def unpack_entry(packed: bytes) -> Entry:
    """Decode an entry of the store."""
    return _DECODER.decode(packed)
