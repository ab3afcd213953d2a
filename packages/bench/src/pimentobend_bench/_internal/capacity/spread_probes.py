"""Measure the exchanges by which daemons follow the tables."""

import itertools
from collections.abc import Callable

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_route
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.follower import TablesFollower
from pimentobend_core._internal.configuration.follower_messages import CatchUp
from pimentobend_core._internal.configuration.follower_messages import Current
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.versioned import VersionedTables

_ROUTE_SIZES = (2_250, 4_500, 9_000, 18_000)
_CHANGE_SIZES = (1, 4, 16, 64, 256)
_SOURCE = "10.0.0.1:9000"
_CHILD = "10.0.0.2:9000"
_FIRST = Version(3, 200_000)
_LATE_S = 1_000.0


def make_versioned(routes: int) -> VersionedTables:
    """Return tables of a version with a number of routes and all pools."""
    tables = VersionedTables()
    delta = TablesDelta(
        base=tables.version,
        routes=tuple(make_routes(routes)),
        removed_routes=(),
        pools=tuple(make_pools()),
        removed_pools=(),
    )
    tables.apply(delta, _FIRST)
    return tables


def make_follower(routes: int) -> TablesFollower:
    """Return a follower that has tables in force."""
    follower = TablesFollower((_SOURCE,), 0.0)
    whole = TablesSnapshot(make_versioned(routes).whole())
    follower.handle(SpreadReceived(_SOURCE, whole), _LATE_S)
    return follower


def change_one_route(tables: VersionedTables, number: int) -> VersionedDelta:
    """Step tables by one changed route and return the delta."""
    route = make_route(number % 1_000)._replace(timeout_ms=5_000 + number)
    delta = TablesDelta(tables.version, (route,), (), (), ())
    version = Version(_FIRST.term, tables.version.log_index + 1)
    tables.apply(delta, version)
    return VersionedDelta(version, tables.digest, delta)


class FollowerMemoryProbe(MemoryProbe):
    """Follow tables, and let go of the message that brought them."""

    name = "memory-route-follower"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower"

    def warm_up(self) -> None:
        """Follow a few routes."""
        make_follower(4)

    def build(self, size: int) -> object:
        """Return a follower with tables in force."""
        return make_follower(size)


class ChangeBytesProbe(BytesProbe):
    """Encode single-row changes that follow one another."""

    name = "bytes-change-spread"
    sized_by = "changes"
    sizes = _CHANGE_SIZES
    mechanism = "core configuration.codec"

    def encode(self, size: int) -> bytes:
        """Return the message that carries the changes."""
        tables = make_versioned(_ROUTE_SIZES[0])
        deltas = tuple(change_one_route(tables, number) for number in range(size))
        return encode(Deltas(deltas))


class ChangeCpuProbe(CpuProbe):
    """Take one change of one route into the tables in force."""

    name = "cpu-change-follower"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that takes the next change."""
        follower = make_follower(size)
        source = make_versioned(size)
        numbers = itertools.count()

        def take() -> None:
            delta = change_one_route(source, next(numbers))
            follower.handle(SpreadReceived(_SOURCE, Deltas((delta,))), _LATE_S)

        return take


class DigestBytesProbe(BytesProbe):
    """Encode a question for changes and the answer that there are none."""

    name = "bytes-digest-exchange"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower"

    def encode(self, size: int) -> bytes:
        """Return both messages."""
        tables = make_versioned(size)
        asked = CatchUp(tables.version, tables.digest, False)
        return encode(asked) + encode(Current(tables.version, tables.digest))


class DigestCpuProbe(CpuProbe):
    """Answer a question for changes that finds none."""

    name = "cpu-digest-exchange"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that answers the question."""
        follower = make_follower(size)
        tables = follower.tables
        asked = SpreadReceived(_CHILD, CatchUp(tables.version, tables.digest, False))
        return lambda: follower.handle(asked, _LATE_S)


class CatchUpBytesProbe(BytesProbe):
    """Encode the answer to a daemon that has no tables."""

    name = "bytes-catch-up"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.codec"

    def encode(self, size: int) -> bytes:
        """Return the encoded answer."""
        return encode(TablesSnapshot(make_versioned(size).whole()))


class CatchUpCpuProbe(CpuProbe):
    """Serve a daemon that has no tables."""

    name = "cpu-catch-up-serve"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower, configuration.codec"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that makes and encodes the answer."""
        follower = make_follower(size)
        asked = SpreadReceived(_CHILD, CatchUp(Version(0, 0), b"", True))
        return lambda: [
            encode(sent.message)  # type: ignore[union-attr]
            for sent in follower.handle(asked, _LATE_S)
        ]


class CatchUpTakeCpuProbe(CpuProbe):
    """Take the whole tables at a start."""

    name = "cpu-catch-up-take"
    sized_by = "routes"
    sizes = _ROUTE_SIZES
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that puts the tables in force in a new follower."""
        received = SpreadReceived(_SOURCE, TablesSnapshot(make_versioned(size).whole()))
        return lambda: TablesFollower((_SOURCE,), 0.0).handle(received, _LATE_S)


PROBES = (
    FollowerMemoryProbe(),
    ChangeBytesProbe(),
    ChangeCpuProbe(),
    DigestBytesProbe(),
    DigestCpuProbe(),
    CatchUpBytesProbe(),
    CatchUpCpuProbe(),
    CatchUpTakeCpuProbe(),
)
