"""Probes that measure the rows that the tree of relays distributes.

A row describes one backend server.
"""

import itertools
from collections.abc import Callable

from pimentobend_bench._internal.capacity.membership_probes import make_event
from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_core._internal.membership.rows import read_rows
from pimentobend_core._internal.membership.spread.codec import decode_message
from pimentobend_core._internal.membership.spread.codec import encode_message
from pimentobend_core._internal.membership.spread.messages import Alive
from pimentobend_core._internal.membership.spread.messages import Beacon
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import Position
from pimentobend_core._internal.membership.spread.store import RowStore

_STORE_SIZES = (2_500, 5_000, 10_000, 20_000)
_DELTA_SIZES = (1, 4, 16, 64, 256)
_EPOCH = 7
_FIRST_NUMBER = 1_000_000
_CHILD_LIFE = Rank(1_700_000_000_000_000_000, 3)


def make_delta(rows: int) -> Delta:
    """Return a delta that carries the rows of ``rows`` servers."""
    numbered = tuple(make_row(number) for number in range(rows))
    end = Position(_EPOCH, _FIRST_NUMBER + rows)
    return Delta(end, Position(_EPOCH, 0), _FIRST_NUMBER, False, numbered)


def make_row(number: int, sequence: int = 0) -> NumberedRow:
    """Return the row of server ``number``."""
    event = make_event(number, sequence, Presence.LIVE)
    return NumberedRow(_FIRST_NUMBER + number + 1, create_server_row(event))


def fill_store(rows: int) -> RowStore:
    """Return a store of ``rows`` rows, which holds decoded rows as in a daemon."""
    store = RowStore()
    for number in range(rows):
        delta = make_delta(0)._replace(rows=(make_row(number),))
        received = decode_message(encode_message(delta))
        assert isinstance(received, Delta)
        store.put(received.rows[0], 0.0)
    return store


class StoreMemoryProbe(MemoryProbe):
    """Store the rows of servers."""

    name = "memory-spread-row"
    sized_by = "rows"
    sizes = _STORE_SIZES
    mechanism = "core membership.spread.store"

    def warm_up(self) -> None:
        """Fill a small store."""
        fill_store(4)

    def build(self, size: int) -> object:
        """Return a store of ``size`` rows."""
        return fill_store(size)


class DeltaBytesProbe(BytesProbe):
    """Encode a delta, which carries the rows of one batching window."""

    name = "bytes-spread-row"
    sized_by = "rows of one delta"
    sizes = _DELTA_SIZES
    mechanism = "core membership.spread.codec"

    def encode(self, size: int) -> bytes:
        """Return a delta of ``size`` rows."""
        return encode_message(make_delta(size))


class SnapshotBytesProbe(BytesProbe):
    """Encode all rows, as sent to an instance that has none."""

    name = "bytes-spread-snapshot"
    sized_by = "rows"
    sizes = _STORE_SIZES
    mechanism = "core membership.spread.codec"

    def encode(self, size: int) -> bytes:
        """Return a snapshot of ``size`` rows."""
        return encode_message(make_delta(size)._replace(is_snapshot=True))


class BeaconBytesProbe(BytesProbe):
    """Encode a beacon (a parent's heartbeat) and its answer."""

    name = "bytes-beacon"
    sized_by = "rows"
    sizes = _STORE_SIZES
    mechanism = "core membership.spread.codec"

    def encode(self, size: int) -> bytes:
        """Return both messages."""
        position = Position(_EPOCH, _FIRST_NUMBER + size)
        beacon = Beacon(position, position, (1 << 63) + size, _FIRST_NUMBER, 100_000)
        return encode_message(beacon) + encode_message(Alive(_CHILD_LIFE, position))


class RowCpuProbe(CpuProbe):
    """Decode a delta, store its rows and decode the server changes in them."""

    name = "cpu-spread-row"
    sized_by = "rows of one delta"
    sizes = _DELTA_SIZES
    mechanism = "core membership.spread, membership.rows"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that applies the delta to a store."""
        payload = encode_message(make_delta(size))
        store = RowStore()
        clock = itertools.count()

        def apply() -> object:
            delta = decode_message(payload)
            assert isinstance(delta, Delta)
            now = float(next(clock))
            for numbered in delta.rows:
                store.put(numbered, now)
            rows = tuple(numbered.row for numbered in delta.rows)
            faults: list[object] = []
            inputs = read_rows(rows, faults.append)
            assert not faults
            return inputs

        return apply


PROBES = (
    StoreMemoryProbe(),
    DeltaBytesProbe(),
    SnapshotBytesProbe(),
    BeaconBytesProbe(),
    RowCpuProbe(),
)
