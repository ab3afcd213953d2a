"""Compare what was worked out with the budgets."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.flows import LEASE_S
from pimentobend_bench._internal.capacity.page.flows import beacons
from pimentobend_bench._internal.capacity.page.flows import daemon_flows
from pimentobend_bench._internal.capacity.page.flows import digest_exchange
from pimentobend_bench._internal.capacity.page.flows import evidence
from pimentobend_bench._internal.capacity.page.flows import membership
from pimentobend_bench._internal.capacity.page.flows import total_bytes_per_s
from pimentobend_bench._internal.capacity.page.flows import total_cpu_share
from pimentobend_bench._internal.capacity.target import ADDED_LATENCY_S
from pimentobend_bench._internal.capacity.target import CHANGE_PROPAGATION_S
from pimentobend_bench._internal.capacity.target import CONTROL_BYTES_PER_S
from pimentobend_bench._internal.capacity.target import CONTROL_CPU_SHARE
from pimentobend_bench._internal.capacity.target import CONTROL_INSTANCES
from pimentobend_bench._internal.capacity.target import CONTROL_MEMORY_BYTES
from pimentobend_bench._internal.capacity.target import DAEMONS
from pimentobend_bench._internal.capacity.target import PEAK_PER_DAEMON_PER_S
from pimentobend_bench._internal.capacity.target import REGION_LINK_BITS_PER_S
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_core._internal.configuration.follower import ANSWER_TIMEOUT_S
from pimentobend_core._internal.configuration.follower import ASK_INTERVAL_S
from pimentobend_core._internal.configuration.follower import TICK_S
from pimentobend_core._internal.ledger.store import KEEP_S

WHOLE_TABLE_PROXY = "pimentobendd, whole table"
CODE_PART = "the daemon's code"
TREE_LEVELS = 3  # control replica, relay of the region or data centre, daemon
CONTROL_REPLICAS = 5
LEDGER_REPLICAS_PER_GROUP = 3
RELAYS = 7  # one a data centre
REGION_RELAYS = 4  # in the region without the leader
MINUTE_S = 60.0
LEDGER_MEMORY_BYTES = 1e9  # of one replica, for keys


class Budget(NamedTuple):
    """Put a figure beside its limit, both in ``unit``."""

    name: str
    figure: float
    limit: float
    unit: str
    basis: str
    remedy: str

    @property
    def is_met(self) -> bool:
        """Say whether the figure is within the limit."""
        return self.figure <= self.limit

    @property
    def margin(self) -> float:
        """Return the part of the limit that is left; negative for a shortfall."""
        return self.limit - self.figure


def list_budgets(costs: Costs) -> tuple[Budget, ...]:
    """Return every budget of the target."""
    return (
        _latency(costs),
        _spread_time(costs),
        _cpu(costs),
        _whole_memory(costs),
        _added_memory(costs),
        _bytes(costs),
        _instances(costs),
        _region_link(costs),
        _region_restart(costs),
    )


def peak_cpu_share(costs: Costs) -> float:
    """Return the share of a core that one daemon's requests take at the peak."""
    return PEAK_PER_DAEMON_PER_S * costs.hop(WHOLE_TABLE_PROXY)["cpu_per_request_s"]


def control_cpu_share(costs: Costs) -> float:
    """Return the share of a core for control: at rest, and for its exchanges."""
    at_rest = costs.daemon[-1]["idle_cpu_share"]
    return at_rest + total_cpu_share(daemon_flows(costs))


def added_memory_bytes(costs: Costs) -> int:
    """Return the private bytes that data for control adds to the process."""
    return costs.parts[-1]["private_bytes"] - costs.part_bytes(CODE_PART)


def ledger_keys_per_s(costs: Costs) -> float:
    """Return the claims a second whose kept keys fit a replica."""
    return LEDGER_MEMORY_BYTES / costs.per_unit("memory-ledger-key") / KEEP_S


def spread_time_s() -> float:
    """Return how long a change takes to every daemon with one relay lost.

    The daemons below the relay notice at their next question, wait for the
    answer in vain and ask the next source.
    """
    return ASK_INTERVAL_S + ANSWER_TIMEOUT_S + 2 * TICK_S


def catch_up_bytes(costs: Costs) -> float:
    """Return the bytes of the whole tables."""
    return costs.at_size("bytes-catch-up", ROUTES)


def _latency(costs: Costs) -> Budget:
    hop = costs.hop(WHOLE_TABLE_PROXY)
    return Budget(
        "added to a request, p99",
        hop["added_p99_s"] * 1e3,
        ADDED_LATENCY_S * 1e3,
        "ms",
        f"`hop`, one hop at {hop['rate_per_s']} requests a second, loopback,"
        f" median of {hop['runs']} runs on a shared machine",
        "less CPU a request (the grant, the log line) and shorter stalls at a"
        " change of the tables",
    )


def _spread_time(costs: Costs) -> Budget:
    stall_s = TREE_LEVELS * costs.at_size("cpu-change-follower", ROUTES)
    return Budget(
        "change in force everywhere, one relay lost",
        spread_time_s() + stall_s,
        CHANGE_PROPAGATION_S,
        "s",
        "worked out from the follower's intervals and `cpu-change-follower`;"
        " no fleet of this size was run",
        "shorter question interval",
    )


def _cpu(costs: Costs) -> Budget:
    return Budget(
        "CPU for control, a daemon",
        control_cpu_share(costs) * 100,
        CONTROL_CPU_SHARE * 100,
        "% of a core",
        f"the real daemon of {ROUTES:,} routes at rest, and the flows below with"
        f" leases of {LEASE_S:g} s",
        "ticks only for pools in use; longer leases; deltas into the matcher instead"
        " of whole tables",
    )


def _whole_memory(costs: Costs) -> Budget:
    return Budget(
        "memory, the whole process",
        costs.parts[-1]["private_bytes"] / 1e6,
        CONTROL_MEMORY_BYTES / 1e6,
        "MB",
        "`whole-table`, the daemon's parts in one process",
        "libraries and code alone take most of it; see below",
    )


def _added_memory(costs: Costs) -> Budget:
    return Budget(
        "memory, what control adds",
        added_memory_bytes(costs) / 1e6,
        CONTROL_MEMORY_BYTES / 1e6,
        "MB",
        "`whole-table`, after less before the tables",
        "one copy of the servers' rows, packed, for view and tree; traffic and health"
        " of a pool created at its first request",
    )


def _bytes(costs: Costs) -> Budget:
    return Budget(
        "bytes for control, a daemon",
        total_bytes_per_s(daemon_flows(costs)) / 1e3,
        CONTROL_BYTES_PER_S / 1e3,
        "KB/s",
        f"flows below, both ways, leases of {LEASE_S:g} s",
        "reports of evidence for pools with news only, joined by a relay; longer"
        " leases",
    )


def _instances(costs: Costs) -> Budget:
    left = CONTROL_INSTANCES - CONTROL_REPLICAS - RELAYS
    groups = left // LEDGER_REPLICAS_PER_GROUP
    claims_per_s = groups * ledger_keys_per_s(costs)
    return Budget(
        "instances set aside",
        CONTROL_REPLICAS + RELAYS + groups * LEDGER_REPLICAS_PER_GROUP,
        CONTROL_INSTANCES,
        "instances",
        f"{CONTROL_REPLICAS} control replicas, a relay in each data centre,"
        f" {groups} groups of {LEDGER_REPLICAS_PER_GROUP} ledger replicas; these hold"
        f" {claims_per_s:.0f} claims a second all day long in 1 GB each, and the"
        " letter does not say how many are asked",
        "ledger entries in packed bytes",
    )


def _region_link(costs: Costs) -> Budget:
    other_region = DAEMONS / 2
    reports = other_region * evidence(costs).bytes_per_s
    questions = other_region * digest_exchange(costs).bytes_per_s
    rows = REGION_RELAYS * (beacons(costs).bytes_per_s + membership(costs).bytes_per_s)
    return Budget(
        "link between regions, normal hours, control alone",
        (reports + questions + rows) * 8 / 1e6,
        REGION_LINK_BITS_PER_S / 1e6,
        "Mbit/s",
        "both ways together: evidence to the floor's owner"
        f" {reports * 8 / 1e6:.1f}, questions to control without relays"
        f" {questions * 8 / 1e6:.1f}, the tree {rows * 8 / 1e6:.2f}",
        "evidence for pools with news only, joined by the region's relays",
    )


def _region_restart(costs: Costs) -> Budget:
    restart_bytes = DAEMONS / 2 * catch_up_bytes(costs)
    return Budget(
        "link between regions, restart of everything within a minute",
        restart_bytes * 8 / MINUTE_S / 1e6,
        REGION_LINK_BITS_PER_S / 1e6,
        "Mbit/s",
        "whole tables to each daemon of the other region, as when `control` alone"
        " is in the settings' sources",
        f"relays in the region as first source: {REGION_RELAYS} catch-ups cross"
        f" the link, {REGION_RELAYS * catch_up_bytes(costs) / 1e6:.1f} MB",
    )
