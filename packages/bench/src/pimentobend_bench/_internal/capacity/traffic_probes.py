"""Probes that measure pool traffic, fair shares and route matching."""

import itertools
from collections.abc import Callable

from pimentobend_bench._internal.capacity.configuration_probes import make_tables
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_bench._internal.capacity.rows import make_organisation
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_server
from pimentobend_bench._internal.capacity.target import SERVERS
from pimentobend_bench._internal.capacity.target import SERVICES
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.traffic.fairness import FairShares
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.pool import PoolTraffic
from pimentobend_core._internal.traffic.routing import RouteMatcher

_ROUTE_COUNTS = (2_250, 4_500, 9_000, 18_000)
_ORGANISATION_COUNTS = (10_000, 21_250, 42_500, 85_000)
_POOL_COUNTS = (145, 290, 580, 1_160)
_SERVER_COUNTS = (8, 16, 34, 68, 136)
_SERVERS_PER_POOL = SERVERS // SERVICES
_SEED = 1


def _create_traffic(pool: Pool, servers: int) -> PoolTraffic:
    traffic = PoolTraffic(pool, "dc-0", "region-0", _SEED)
    rows = tuple(make_server(number) for number in range(servers))
    traffic.handle(ServersChanged(rows), 0.0)
    return traffic


class OrganisationMemoryProbe(MemoryProbe):
    """Charge requests of many organisations to the fair shares of one pool."""

    name = "memory-organisation-shares"
    sized_by = "organisations"
    sizes = _ORGANISATION_COUNTS
    mechanism = "core traffic.fairness"

    def warm_up(self) -> None:
        """Charge requests of a few organisations."""
        self.build(4)

    def build(self, size: int) -> object:
        """Return the shares after one request from each of ``size`` organisations."""
        shares = FairShares(_SEED)
        for number in range(size):
            shares.charge(make_organisation(number), 0.0)
        return shares


class PoolMemoryProbe(MemoryProbe):
    """Create the traffic state of pools, each with its servers."""

    name = "memory-pool-traffic"
    sized_by = "pools"
    sizes = _POOL_COUNTS
    mechanism = "core traffic.pool"

    def warm_up(self) -> None:
        """Create the state of one pool."""
        self.build(1)

    def build(self, size: int) -> object:
        """Return the traffic state of ``size`` pools."""
        return [_create_traffic(pool, _SERVERS_PER_POOL) for pool in make_pools(size)]


class MatcherMemoryProbe(MemoryProbe):
    """Compile routes into the matcher of the request path."""

    name = "memory-route-matcher"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core traffic.routing"

    def warm_up(self) -> None:
        """Compile a few routes."""
        self.build(4)

    def build(self, size: int) -> object:
        """Return the tables and their matcher."""
        tables = make_tables(size)
        return tables, RouteMatcher(tables)


class MatcherCpuProbe(CpuProbe):
    """Compile all routes, which happens after each change."""

    name = "cpu-route-compile"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core traffic.routing"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that compiles the tables."""
        tables = make_tables(size)
        return lambda: RouteMatcher(tables)


class MatchCpuProbe(CpuProbe):
    """Find the route of one request."""

    name = "cpu-route-match"
    sized_by = "routes"
    sizes = _ROUTE_COUNTS
    mechanism = "core traffic.routing"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that finds the route of a request."""
        tables = make_tables(size)
        matcher = RouteMatcher(tables)
        route = tables.routes[size // 2]
        method = route.methods[0]
        return lambda: matcher.match(method, route.host, f"{route.path}/a/b")


class GrantCpuProbe(CpuProbe):
    """Grant a server to a request, and handle the end of the attempt."""

    name = "cpu-grant"
    sized_by = "servers of the pool"
    sizes = _SERVER_COUNTS
    mechanism = "core traffic.pool"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that runs one request through a pool."""
        pool = next(make_pools(1))
        traffic = _create_traffic(pool, size)
        tickets = itertools.count(1)

        def serve() -> None:
            ticket = next(tickets)
            now = 100.0 + ticket / 1_000
            outputs = traffic.handle(_make_acquire(ticket, now), now)
            for output in outputs:
                assert isinstance(output, Granted)
                traffic.handle(
                    _make_attempt_ended(ticket, output.server.server_id), now + 0.005
                )

        return serve


def _make_acquire(ticket: int, now: float) -> Acquire:
    return Acquire(
        ticket=ticket,
        route="route-00001",
        organisation=make_organisation(ticket % 100),
        deadline=now + 10.0,
        repeatable=True,
        excluded=frozenset(),
        is_retry=False,
    )


def _make_attempt_ended(ticket: int, server_id: str) -> AttemptEnded:
    return AttemptEnded(
        ticket=ticket,
        pool="pool-0",
        route="route-00001",
        server_id=server_id,
        kind=AttemptKind.ANSWERED,
        status=200,
        latency_s=0.005,
        was_reused=True,
        load=None,
    )


PROBES = (
    OrganisationMemoryProbe(),
    PoolMemoryProbe(),
    MatcherMemoryProbe(),
    MatcherCpuProbe(),
    MatchCpuProbe(),
    GrantCpuProbe(),
)
