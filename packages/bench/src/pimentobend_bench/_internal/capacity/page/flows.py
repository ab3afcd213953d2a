"""Message exchanges of a daemon for control, and the cost of each."""

from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.target import CHANGES_PER_DAY
from pimentobend_bench._internal.capacity.target import DAY_S
from pimentobend_bench._internal.capacity.target import FAILURES_PER_DAY
from pimentobend_bench._internal.capacity.target import RESTARTS_PER_DAY
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_bench._internal.capacity.target import SERVERS
from pimentobend_bench._internal.capacity.target import SERVERS_PER_DAEMON
from pimentobend_bench._internal.capacity.target import SERVICES
from pimentobend_core._internal.configuration.follower import ASK_INTERVAL_S
from pimentobend_core._internal.health.limits import REPORT_IDLE_S
from pimentobend_core._internal.health.limits import TICK_S as HEALTH_TICK_S
from pimentobend_core._internal.health.ticks import TICKS_PER_ROUND
from pimentobend_core._internal.membership.registry import RENEWALS_PER_LEASE
from pimentobend_core._internal.membership.spread.relay import BEACON_S
from pimentobendd._internal.evidence import WINDOW_S

LEASE_S = 10.0
EVENTS_PER_RESTART = 2  # a server leaves and returns


class Flow(NamedTuple):
    """One kind of exchange of a daemon, with the bytes and CPU seconds of each."""

    name: str
    module: str
    per_s: float
    bytes_each: float
    cpu_s_each: float

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes per second, in both directions."""
        return self.per_s * self.bytes_each

    @property
    def cpu_share(self) -> float:
        """Return the CPU time as a share of one core."""
        return self.per_s * self.cpu_s_each


def lease_renewals(costs: Costs) -> Flow:
    """Return the lease renewals of the servers of one daemon."""
    return Flow(
        "lease renewals of its servers",
        "pimentobend_core._internal.membership.registry",
        SERVERS_PER_DAEMON * RENEWALS_PER_LEASE / LEASE_S,
        costs.per_unit("bytes-lease-renewal"),
        costs.renewal_cpu_s,
    )


def table_polls(costs: Costs, peers: float = 1.0) -> Flow:
    """Return the polls for changes of the tables, to or from ``peers`` peers."""
    return Flow(
        "polls for changes of the tables",
        "pimentobend_core._internal.configuration.follower",
        peers / ASK_INTERVAL_S,
        costs.at_size("bytes-digest-exchange", ROUTES) + 2 * costs.frame_bytes,
        costs.at_size("cpu-digest-exchange", ROUTES) + costs.frame_cpu_s,
    )


def table_changes(costs: Costs) -> Flow:
    """Return the changes of the tables, applied and put in force."""
    return Flow(
        "configuration changes",
        "pimentobend_core._internal.configuration.follower",
        CHANGES_PER_DAY / DAY_S,
        costs.per_unit("bytes-change-spread") + costs.frame_bytes,
        change_cpu_s(costs),
    )


def change_cpu_s(costs: Costs) -> float:
    """Return the CPU seconds for which one change blocks a daemon."""
    return (
        costs.at_size("cpu-change-follower", ROUTES)
        + costs.at_size("cpu-route-compile", ROUTES)
        + costs.frame_cpu_s
    )


def membership_events(costs: Costs) -> Flow:
    """Return the events of servers that leave and return on an ordinary day."""
    restarts = (RESTARTS_PER_DAY + FAILURES_PER_DAY) * SERVERS_PER_DAEMON
    return Flow(
        "membership events",
        "pimentobend_core._internal.membership.spread",
        restarts * EVENTS_PER_RESTART / DAY_S,
        costs.at_size("bytes-spread-row", 1) + costs.frame_bytes,
        event_cpu_s(costs) + costs.frame_cpu_s,
    )


def event_cpu_s(costs: Costs) -> float:
    """Return the CPU seconds to apply one row of a delta, including to the view."""
    return costs.per_unit("cpu-spread-row") + costs.at_size(
        "cpu-membership-event", SERVERS
    )


def beacon_exchanges(costs: Costs, children: float = 1.0) -> Flow:
    """Return the beacons (heartbeats) of the relay tree and their answers."""
    return Flow(
        "beacons of the relay tree",
        "pimentobend_core._internal.membership.spread",
        children / BEACON_S,
        costs.at_size("bytes-beacon", SERVERS) + 2 * costs.frame_bytes,
        costs.frame_cpu_s,
    )


def health_reports(costs: Costs) -> Flow:
    """Return the frames that carry reports on healthy pools to the floor owner."""
    batch = reports_per_s() * WINDOW_S
    return Flow(
        "health reports, all pools",
        "pimentobendd._internal.evidence",
        1 / WINDOW_S,
        costs.at_size("bytes-evidence-batch", batch) + costs.frame_bytes,
        costs.frame_cpu_s,
    )


def reports_per_s() -> float:
    """Return how many health reports one daemon sends per second."""
    return min(SERVICES / REPORT_IDLE_S, ticks_per_s())


def ticks_per_s() -> float:
    """Return the health check ticks per second of one daemon, over all pools."""
    return min(SERVICES, TICKS_PER_ROUND) / HEALTH_TICK_S


def health_ticks(costs: Costs) -> Flow:
    """Return the health check ticks of all pools.

    Only the cost per server counts: the ticks of a pool without servers are part of
    the measurement at rest.
    """
    servers = SERVERS / SERVICES
    return Flow(
        "health check ticks, all pools",
        "pimentobend_core._internal.health.observer",
        ticks_per_s(),
        0.0,
        costs.per_unit("cpu-health-tick") * servers,
    )


def daemon_flows(costs: Costs) -> tuple[Flow, ...]:
    """Return the exchanges of a daemon without followers in normal hours."""
    return (
        lease_renewals(costs),
        table_polls(costs),
        table_changes(costs),
        membership_events(costs),
        beacon_exchanges(costs),
        health_reports(costs),
        health_ticks(costs),
    )


def total_bytes_per_s(flows: Sequence[Flow]) -> float:
    """Return the bytes per second of all flows."""
    return sum(flow.bytes_per_s for flow in flows)


def total_cpu_share(flows: Sequence[Flow]) -> float:
    """Return the CPU time of all flows as a share of one core."""
    return sum(flow.cpu_share for flow in flows)
