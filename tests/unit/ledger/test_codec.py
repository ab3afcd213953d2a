"""Check that invalid bytes are rejected."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ledger import codec
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import CommandBatch

BATCH = codec.encode_batch(
    CommandBatch(1.0, (ClaimWork(b"k" * 16, ClaimId("a", 1, 1), b"p" * 8, 1.0),))
)
DECODERS = (
    codec.decode_batch,
    codec.decode_command,
    codec.decode_result,
    codec.decode_results,
    codec.decode_snapshot,
)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        BATCH[:-1],
        BATCH + b"x",
        msgspec.msgpack.encode((99, 1.0, ())),
        msgspec.msgpack.encode((1, 1.0, ((7, ()),))),
        msgspec.msgpack.encode((1, 1.0, ((-1, ()),))),
        msgspec.msgpack.encode((1, "x", ())),
    ],
)
def test_invalid_batch_is_rejected(payload: bytes) -> None:
    with pytest.raises(CodecError):
        codec.decode_batch(payload)


@pytest.mark.parametrize("decode", DECODERS, ids=lambda decode: decode.__name__)
@given(payload=strategies.binary(max_size=64))
@settings(derandomize=True)
def test_any_bytes_decode_or_are_rejected(decode: object, payload: bytes) -> None:
    assert callable(decode)
    try:
        decode(payload)
    except CodecError as error:
        assert error.message


@given(position=strategies.integers(0, len(BATCH) - 1), bit=strategies.integers(0, 7))
@settings(derandomize=True)
def test_flipped_bits_decode_or_are_rejected(position: int, bit: int) -> None:
    flipped = bytearray(BATCH)
    flipped[position] ^= 1 << bit
    try:
        assert codec.decode_batch(bytes(flipped)) != codec.decode_batch(BATCH)
    except CodecError as error:
        assert error.message
