"""List what a daemon exchanges for control, and what each exchange costs."""

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
from pimentobend_core._internal.membership.registry import RENEWALS_A_LEASE
from pimentobend_core._internal.membership.spread.relay import BEACON_S
from pimentobendd._internal.evidence import WINDOW_S

LEASE_S = 10.0
EVENTS_PER_LIFE = 2  # a server's end and its return


class Flow(NamedTuple):
    """Describe one exchange of a daemon; CPU is in seconds each."""

    name: str
    module: str
    per_s: float
    bytes_each: float
    cpu_s_each: float

    @property
    def bytes_per_s(self) -> float:
        """Return bytes a second, both ways."""
        return self.per_s * self.bytes_each

    @property
    def cpu_share(self) -> float:
        """Return the share of one core."""
        return self.per_s * self.cpu_s_each


def renewals(costs: Costs) -> Flow:
    """Return the leases of the servers beside one daemon."""
    return Flow(
        "lease renewals of its servers",
        "pimentobend_core._internal.membership.registry",
        SERVERS_PER_DAEMON * RENEWALS_A_LEASE / LEASE_S,
        costs.per_unit("bytes-lease-renewal"),
        costs.renewal_cpu_s,
    )


def digest_exchange(costs: Costs, peers: float = 1.0) -> Flow:
    """Return the questions for changes, asked of or by so many peers."""
    return Flow(
        "digest exchange of the tables",
        "pimentobend_core._internal.configuration.follower",
        peers / ASK_INTERVAL_S,
        costs.at_size("bytes-digest-exchange", ROUTES) + 2 * costs.frame_bytes,
        costs.at_size("cpu-digest-exchange", ROUTES) + costs.frame_cpu_s,
    )


def changes(costs: Costs) -> Flow:
    """Return the changes of the tables, taken into the tables in force."""
    return Flow(
        "configuration changes",
        "pimentobend_core._internal.configuration.follower",
        CHANGES_PER_DAY / DAY_S,
        costs.per_unit("bytes-change-spread") + costs.frame_bytes,
        change_cpu_s(costs),
    )


def change_cpu_s(costs: Costs) -> float:
    """Return the seconds in which one change holds up a daemon."""
    return (
        costs.at_size("cpu-change-follower", ROUTES)
        + costs.at_size("cpu-route-compile", ROUTES)
        + costs.frame_cpu_s
    )


def membership(costs: Costs) -> Flow:
    """Return the ends and returns of servers on an ordinary day."""
    lives = (RESTARTS_PER_DAY + FAILURES_PER_DAY) * SERVERS_PER_DAEMON
    return Flow(
        "membership events",
        "pimentobend_core._internal.membership.spread",
        lives * EVENTS_PER_LIFE / DAY_S,
        costs.at_size("bytes-spread-row", 1) + costs.frame_bytes,
        event_cpu_s(costs) + costs.frame_cpu_s,
    )


def event_cpu_s(costs: Costs) -> float:
    """Return the seconds that one row of a delta takes, view included."""
    return costs.per_unit("cpu-spread-row") + costs.at_size(
        "cpu-membership-event", SERVERS
    )


def beacons(costs: Costs, children: float = 1.0) -> Flow:
    """Return the beacons of the tree and the answers to them."""
    return Flow(
        "beacons of the tree",
        "pimentobend_core._internal.membership.spread",
        children / BEACON_S,
        costs.at_size("bytes-beacon", SERVERS) + 2 * costs.frame_bytes,
        costs.frame_cpu_s,
    )


def evidence(costs: Costs) -> Flow:
    """Return the frames of reports on healthy pools to the floor's owner."""
    batch = reports_per_s() * WINDOW_S
    return Flow(
        "evidence of servers' health, every pool",
        "pimentobendd._internal.evidence",
        1 / WINDOW_S,
        costs.at_size("bytes-evidence-batch", batch) + costs.frame_bytes,
        costs.frame_cpu_s,
    )


def reports_per_s() -> float:
    """Return how many pools one daemon reports on in a second."""
    return min(SERVICES / REPORT_IDLE_S, ticks_per_s())


def ticks_per_s() -> float:
    """Return the ticks of the observers of all pools of one daemon."""
    return min(SERVICES, TICKS_PER_ROUND) / HEALTH_TICK_S


def health_ticks(costs: Costs) -> Flow:
    """Return the ticks of all pools' observers, for their servers alone.

    A tick of a pool without servers is part of the reading at rest.
    """
    servers = SERVERS / SERVICES
    return Flow(
        "ticks of servers' health, every pool",
        "pimentobend_core._internal.health.observer",
        ticks_per_s(),
        0.0,
        costs.per_unit("cpu-health-tick") * servers,
    )


def daemon_flows(costs: Costs) -> tuple[Flow, ...]:
    """Return what a daemon without followers exchanges in normal hours."""
    return (
        renewals(costs),
        digest_exchange(costs),
        changes(costs),
        membership(costs),
        beacons(costs),
        evidence(costs),
        health_ticks(costs),
    )


def total_bytes_per_s(flows: Sequence[Flow]) -> float:
    """Return the bytes a second of all flows."""
    return sum(flow.bytes_per_s for flow in flows)


def total_cpu_share(flows: Sequence[Flow]) -> float:
    """Return the share of one core of all flows."""
    return sum(flow.cpu_share for flow in flows)
