"""Hold what the ledger knows of a key in few bytes."""

from typing import NamedTuple

import msgspec

from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import WorkState


class Entry(NamedTuple):
    """Hold what is known of one key; times are seconds of log time."""

    state: WorkState
    claim_id: ClaimId
    fingerprint: bytes
    status: int
    changed_at: float
    busy_until: float
    released: tuple[ClaimId, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


def pack_entry(entry: Entry) -> bytes:
    """Pack an entry for the store."""
    return _ENCODER.encode(entry)


def unpack_entry(packed: bytes) -> Entry:
    """Unpack an entry of the store."""
    return _DECODER.decode(packed)
