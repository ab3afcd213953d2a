"""Probes that measure the compressed size and decoding time of routes and pools."""

import zlib
from collections.abc import Callable

import msgspec

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_core._internal.models.tables import Tables

_ROUTE_COUNTS = (2_250, 4_500, 9_000, 18_000)
_TABLES_DECODER = msgspec.msgpack.Decoder(Tables)


def make_tables(routes: int) -> Tables:
    """Return tables with ``routes`` routes and all pools."""
    return Tables(
        term=3,
        log_index=200_000,
        routes=tuple(make_routes(routes)),
        pools=tuple(make_pools()),
    )


class WholeTablesBytesProbe(BytesProbe):
    """Encode and compress the complete tables, as sent to a daemon that has none."""

    name = "bytes-catch-up-compressed"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core models.tables, msgpack, zlib"

    def encode(self, size: int) -> bytes:
        """Return the compressed tables."""
        return zlib.compress(msgspec.msgpack.encode(make_tables(size)))


class WholeTablesCpuProbe(CpuProbe):
    """Decompress and decode the complete tables."""

    name = "cpu-catch-up-decode"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core models.tables, msgpack, zlib"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that decompresses and decodes the tables."""
        encoded = zlib.compress(msgspec.msgpack.encode(make_tables(size)))
        return lambda: _TABLES_DECODER.decode(zlib.decompress(encoded))


PROBES = (
    WholeTablesBytesProbe(),
    WholeTablesCpuProbe(),
)
