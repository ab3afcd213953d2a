"""Test that replication messages round-trip and malformed bytes are refused."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread import codec
from pimentobend_core._internal.membership.spread.messages import START
from pimentobend_core._internal.membership.spread.messages import Alive
from pimentobend_core._internal.membership.spread.messages import Attach
from pimentobend_core._internal.membership.spread.messages import Beacon
from pimentobend_core._internal.membership.spread.messages import Busy
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import Echo
from pimentobend_core._internal.membership.spread.messages import FetchSnapshot
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.messages import Position
from pimentobend_core._internal.membership.spread.messages import Publish
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.store import RowStore

ROW = Row(RowId(2, "daemon-1", "server-1"), Rank(3, 4), b"payload", True)
DELTA = Delta(Position(2, 9), Position(1, 5), 8, False, (NumberedRow(9, ROW),))
LARGE = DELTA._replace(rows=DELTA.rows * 200)


@pytest.mark.parametrize(
    "message",
    [
        Attach(Position(1, 2), 2**64 - 1, Rank(1, 2), True),
        Alive(Rank(1, 2), START),
        Publish((ROW,)),
        Echo((ROW,), True),
        DELTA,
        LARGE,
        Beacon(Position(1, 2), START, 2**64 - 1, 1, 7),
        Busy(1.5, ("daemon-2",)),
        FetchSnapshot(),
    ],
)
def test_message_round_trips(message: PeerMessage) -> None:
    assert codec.decode_message(codec.encode_message(message)) == message


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        codec.encode_message(DELTA)[:-1],
        msgspec.msgpack.encode((99, 0, False, b"")),
        msgspec.msgpack.encode((1, 99, False, b"")),
        msgspec.msgpack.encode((1, -1, False, b"")),
        msgspec.msgpack.encode((1, 4, True, b"not compressed")),
    ],
)
def test_malformed_bytes_are_refused(payload: bytes) -> None:
    with pytest.raises(CodecError):
        codec.decode_message(payload)


@given(
    position=strategies.integers(0, 10_000),
    bit=strategies.integers(0, 7),
    message=strategies.sampled_from([DELTA, LARGE]),
)
@settings(derandomize=True)
def test_flipped_bits_decode_or_are_refused(
    position: int, bit: int, message: PeerMessage
) -> None:
    flipped = bytearray(codec.encode_message(message))
    flipped[position % len(flipped)] ^= 1 << bit
    try:
        assert codec.decode_message(bytes(flipped)) != b""
    except CodecError as error:
        assert error.message


@pytest.mark.parametrize("kind", list(RowKind), ids=lambda kind: kind.name)
def test_digest_is_that_of_the_received_row(kind: RowKind) -> None:
    # The root writes rows of its own, which its children receive as messages. If the
    # digests differ, children ask for snapshots and publish their rows without end.
    row = Row(RowId(kind, "daemon-1", ""), Rank(3, 4), b"payload")
    received = codec.decode_message(codec.encode_message(Publish((row,))))
    assert isinstance(received, Publish)
    digests = []
    for each in (row, *received.rows):
        store = RowStore()
        store.put(NumberedRow(1, each), 0.0)
        digests.append(store.digest)
    assert digests[0] == digests[1]
