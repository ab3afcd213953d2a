"""Probes that measure the cost of health checks and of their reports.

A probe is a measurement here, not a health check.
"""

import itertools
from collections.abc import Callable

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_server
from pimentobend_core._internal.health.limits import TICK_S
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.messages import ServerEvidence
from pimentobend_core._internal.health.observer import PoolHealth
from pimentobend_core._internal.health.wire import encode_reports
from pimentobend_core._internal.traffic.messages import ServersChanged

_SERVER_COUNTS = (8, 16, 34, 68, 136)
_POOL_COUNTS = (145, 290, 580, 1_160)
_SERVERS_PER_POOL = 34
_OBSERVER = "instance-0001"


def _create_observer(servers: int) -> PoolHealth:
    observer = PoolHealth(next(make_pools(1)), _OBSERVER)
    rows = tuple(make_server(number) for number in range(servers))
    observer.handle(ServersChanged(rows), 0.0)
    return observer


class HealthMemoryProbe(MemoryProbe):
    """Create the observers of pools, each with its servers."""

    name = "memory-pool-health"
    sized_by = "pools"
    sizes = _POOL_COUNTS
    mechanism = "core health.observer"

    def warm_up(self) -> None:
        """Create one observer."""
        self.build(1)

    def build(self, size: int) -> object:
        """Return the observers of ``size`` pools."""
        return [_create_observer(_SERVERS_PER_POOL) for _ in range(size)]


class HealthTickCpuProbe(CpuProbe):
    """Run one periodic check (tick) of a pool whose servers are healthy."""

    name = "cpu-health-tick"
    sized_by = "servers of the pool"
    sizes = _SERVER_COUNTS
    mechanism = "core health.observer"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that handles the next tick."""
        observer = _create_observer(size)
        ticks = itertools.count(1)
        return lambda: observer.handle(HealthTick(), next(ticks) * TICK_S)


class EvidenceBytesProbe(BytesProbe):
    """Encode a report that carries evidence against servers."""

    name = "bytes-evidence-report"
    sized_by = "servers with evidence"
    sizes = (0, 1, 8, 34)
    mechanism = "core health.wire"

    def encode(self, size: int) -> bytes:
        """Return the report with evidence against ``size`` servers."""
        servers = tuple(_make_evidence(number) for number in range(size))
        return encode_reports((_make_report(0, servers),))


class EvidenceBatchProbe(BytesProbe):
    """Encode the reports of several healthy pools, sent in one frame."""

    name = "bytes-evidence-batch"
    sized_by = "reports"
    sizes = (10, 25, 50, 100, 200)
    mechanism = "core health.wire"

    def encode(self, size: int) -> bytes:
        """Return the reports of ``size`` pools."""
        return encode_reports(tuple(_make_report(n, ()) for n in range(size)))


def _make_report(number: int, servers: tuple[ServerEvidence, ...]) -> EvidenceReported:
    *_, pool = make_pools(number + 1)
    reported_at = 12_345.678 + number * TICK_S
    return EvidenceReported(
        pool.name, pool.service, _OBSERVER, reported_at, 3, 1_000, servers
    )


def _make_evidence(number: int) -> ServerEvidence:
    server = make_server(number)
    return ServerEvidence(
        server.server_id, server.incarnation, 0.37, 0.215, Reason.SLOW
    )


PROBES = (
    HealthMemoryProbe(),
    HealthTickCpuProbe(),
    EvidenceBytesProbe(),
    EvidenceBatchProbe(),
)
