"""Probes that measure the messages by which daemons replicate the tables."""

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

_ROUTE_COUNTS = (2_250, 4_500, 9_000, 18_000)
_CHANGE_COUNTS = (1, 4, 16, 64, 256)
_SOURCE = "10.0.0.1:9000"
_POLLING_DAEMON = "10.0.0.2:9000"
_FIRST_VERSION = Version(3, 200_000)
_NOW = 1_000.0  # long after the follower started, so that it no longer waits


def make_versioned_tables(routes: int) -> VersionedTables:
    """Return versioned tables with ``routes`` routes and all pools."""
    tables = VersionedTables()
    delta = TablesDelta(
        base=tables.version,
        routes=tuple(make_routes(routes)),
        removed_routes=(),
        pools=tuple(make_pools()),
        removed_pools=(),
    )
    tables.apply(delta, _FIRST_VERSION)
    return tables


def make_follower(routes: int) -> TablesFollower:
    """Return a follower whose tables are in force."""
    follower = TablesFollower((_SOURCE,), 0.0)
    whole = TablesSnapshot(make_versioned_tables(routes).whole())
    follower.handle(SpreadReceived(_SOURCE, whole), _NOW)
    return follower


def change_one_route(tables: VersionedTables, number: int) -> VersionedDelta:
    """Apply a change of one route to the tables and return the delta."""
    route = make_route(number % 1_000)._replace(timeout_ms=5_000 + number)
    delta = TablesDelta(tables.version, (route,), (), (), ())
    version = Version(_FIRST_VERSION.term, tables.version.log_index + 1)
    tables.apply(delta, version)
    return VersionedDelta(version, tables.digest, delta)


class FollowerMemoryProbe(MemoryProbe):
    """Follow the tables, without the message that delivered them."""

    name = "memory-route-follower"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower"

    def warm_up(self) -> None:
        """Follow tables of a few routes."""
        make_follower(4)

    def build(self, size: int) -> object:
        """Return a follower of tables with ``size`` routes."""
        return make_follower(size)


class ChangeBytesProbe(BytesProbe):
    """Encode successive changes of one row each."""

    name = "bytes-change-spread"
    sized_by = "changes"
    sizes = _CHANGE_COUNTS
    mechanism = "core configuration.codec"

    def encode(self, size: int) -> bytes:
        """Return the message that carries ``size`` changes."""
        tables = make_versioned_tables(_ROUTE_COUNTS[0])
        deltas = tuple(change_one_route(tables, number) for number in range(size))
        return encode(Deltas(deltas))


class ChangeCpuProbe(CpuProbe):
    """Apply a change of one route to a follower's tables."""

    name = "cpu-change-follower"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that applies the next change."""
        follower = make_follower(size)
        source = make_versioned_tables(size)
        numbers = itertools.count()

        def apply() -> None:
            delta = change_one_route(source, next(numbers))
            follower.handle(SpreadReceived(_SOURCE, Deltas((delta,))), _NOW)

        return apply


class DigestBytesProbe(BytesProbe):
    """Encode a poll for changes and the answer that there are none."""

    name = "bytes-digest-exchange"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower"

    def encode(self, size: int) -> bytes:
        """Return both messages."""
        tables = make_versioned_tables(size)
        poll = CatchUp(tables.version, tables.digest, False)
        return encode(poll) + encode(Current(tables.version, tables.digest))


class DigestCpuProbe(CpuProbe):
    """Answer a poll for changes when there are none."""

    name = "cpu-digest-exchange"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that answers the poll."""
        follower = make_follower(size)
        tables = follower.tables
        poll = SpreadReceived(
            _POLLING_DAEMON, CatchUp(tables.version, tables.digest, False)
        )
        return lambda: follower.handle(poll, _NOW)


class CatchUpBytesProbe(BytesProbe):
    """Encode the complete tables, as sent to a daemon that has none."""

    name = "bytes-catch-up"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.codec"

    def encode(self, size: int) -> bytes:
        """Return the message with ``size`` routes."""
        return encode(TablesSnapshot(make_versioned_tables(size).whole()))


class CatchUpServeCpuProbe(CpuProbe):
    """Answer a daemon that has no tables."""

    name = "cpu-catch-up-serve"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower, configuration.codec"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that creates and encodes the answer."""
        follower = make_follower(size)
        poll = SpreadReceived(_POLLING_DAEMON, CatchUp(Version(0, 0), b"", True))
        return lambda: [
            encode(output.message)  # type: ignore[union-attr]
            for output in follower.handle(poll, _NOW)
        ]


class CatchUpApplyCpuProbe(CpuProbe):
    """Put complete tables in force in a daemon that has just started."""

    name = "cpu-catch-up-take"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core configuration.follower"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that creates a follower and gives it the tables."""
        received = SpreadReceived(
            _SOURCE, TablesSnapshot(make_versioned_tables(size).whole())
        )
        return lambda: TablesFollower((_SOURCE,), 0.0).handle(received, _NOW)


PROBES = (
    FollowerMemoryProbe(),
    ChangeBytesProbe(),
    ChangeCpuProbe(),
    DigestBytesProbe(),
    DigestCpuProbe(),
    CatchUpBytesProbe(),
    CatchUpServeCpuProbe(),
    CatchUpApplyCpuProbe(),
)
