"""Compare the estimated use of each resource with its limit."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.flows import LEASE_S
from pimentobend_bench._internal.capacity.page.flows import beacon_exchanges
from pimentobend_bench._internal.capacity.page.flows import daemon_flows
from pimentobend_bench._internal.capacity.page.flows import health_reports
from pimentobend_bench._internal.capacity.page.flows import membership_events
from pimentobend_bench._internal.capacity.page.flows import table_polls
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

# Name in figures.json of a daemon with all routes of the target fleet.
WHOLE_TABLE_PROXY = "pimentobendd, whole table"
CODE_PART = "the daemon's code"
TREE_LEVELS = 3  # control replica, relay of the region or data centre, daemon
CONTROL_REPLICAS = 5
LEDGER_REPLICAS_PER_GROUP = 3
RELAYS = 7  # one per data centre
REGION_RELAYS = 4  # in the region without the leader
MINUTE_S = 60.0
LEDGER_MEMORY_BYTES = 1e9  # for the keys in one replica


class Budget(NamedTuple):
    """A figure and its limit, both in ``unit``.

    ``basis`` tells where the figure comes from, ``remedy`` what would reduce it.
    """

    name: str
    figure: float
    limit: float
    unit: str
    basis: str
    remedy: str

    @property
    def is_met(self) -> bool:
        """Return whether the figure is within the limit."""
        return self.figure <= self.limit

    @property
    def margin(self) -> float:
        """Return the limit less the figure; negative if the budget is missed."""
        return self.limit - self.figure


def list_budgets(costs: Costs) -> tuple[Budget, ...]:
    """Return all budgets of the target fleet."""
    return (
        _added_latency(costs),
        _change_propagation(costs),
        _control_cpu(costs),
        _whole_memory(costs),
        _added_memory(costs),
        _control_bytes(costs),
        _control_instances(costs),
        _region_link(costs),
        _region_restart(costs),
    )


def peak_cpu_share(costs: Costs) -> float:
    """Return the share of a core that one daemon needs for requests at the peak."""
    return PEAK_PER_DAEMON_PER_S * costs.hop(WHOLE_TABLE_PROXY)["cpu_per_request_s"]


def control_cpu_share(costs: Costs) -> float:
    """Return the share of a core that one daemon needs for control.

    Control is all work but callers' requests: the share of an idle daemon plus that
    of its message exchanges with other processes.
    """
    idle = costs.daemon[-1]["idle_cpu_share"]
    return idle + total_cpu_share(daemon_flows(costs))


def added_memory_bytes(costs: Costs) -> int:
    """Return the private bytes of a daemon's data: its memory less its code."""
    return costs.parts[-1]["private_bytes"] - costs.part_bytes(CODE_PART)


def ledger_claims_per_s(costs: Costs) -> float:
    """Return the claims per second whose keys fit into the memory of one replica.

    The replica keeps each key for ``KEEP_S``.
    """
    return LEDGER_MEMORY_BYTES / costs.per_unit("memory-ledger-key") / KEEP_S


def propagation_time_s() -> float:
    """Return how long a change takes to reach every daemon while one relay is down.

    The followers of that relay poll it, wait until the answer times out and poll
    the next source.
    """
    return ASK_INTERVAL_S + ANSWER_TIMEOUT_S + 2 * TICK_S


def catch_up_bytes(costs: Costs) -> float:
    """Return the bytes of the complete tables."""
    return costs.at_size("bytes-catch-up", ROUTES)


def _added_latency(costs: Costs) -> Budget:
    hop = costs.hop(WHOLE_TABLE_PROXY)
    return Budget(
        "latency added to a request, p99",
        hop["added_p99_s"] * 1e3,
        ADDED_LATENCY_S * 1e3,
        "ms",
        f"`hop`, one hop at {hop['rate_per_s']} requests a second on loopback,"
        f" median of {hop['runs']} runs on a shared machine",
        "less CPU time per request (choosing a server, writing the log line) and"
        " shorter pauses when the tables change",
    )


def _change_propagation(costs: Costs) -> Budget:
    apply_s = TREE_LEVELS * costs.at_size("cpu-change-follower", ROUTES)
    return Budget(
        "time until a change is in force on every daemon, one relay down",
        propagation_time_s() + apply_s,
        CHANGE_PROPAGATION_S,
        "s",
        "calculated from the polling intervals and `cpu-change-follower`;"
        " no fleet of this size was run",
        "shorter polling interval",
    )


def _control_cpu(costs: Costs) -> Budget:
    return Budget(
        "CPU for control, per daemon",
        control_cpu_share(costs) * 100,
        CONTROL_CPU_SHARE * 100,
        "% of a core",
        f"an idle daemon with {ROUTES:,} routes, plus the exchanges below with leases"
        f" of {LEASE_S:g} s",
        "health check ticks only for pools in use; longer leases; deltas applied to"
        " the compiled routes instead of compiling all routes again",
    )


def _whole_memory(costs: Costs) -> Budget:
    return Budget(
        "memory, the whole process",
        costs.parts[-1]["private_bytes"] / 1e6,
        CONTROL_MEMORY_BYTES / 1e6,
        "MB",
        "`whole-table`, all code and data of a daemon loaded into one process",
        "libraries and code alone use most of the limit; see below",
    )


def _added_memory(costs: Costs) -> Budget:
    return Budget(
        "memory, the data for control",
        added_memory_bytes(costs) / 1e6,
        CONTROL_MEMORY_BYTES / 1e6,
        "MB",
        "`whole-table`, memory with the tables less memory without them",
        "one packed copy of the server rows, shared by the list of the fleet's servers"
        " and the relay tree;"
        " traffic and health state of a pool created at its first request",
    )


def _control_bytes(costs: Costs) -> Budget:
    return Budget(
        "bytes for control, per daemon",
        total_bytes_per_s(daemon_flows(costs)) / 1e3,
        CONTROL_BYTES_PER_S / 1e3,
        "KB/s",
        f"the exchanges below, in both directions, leases of {LEASE_S:g} s",
        "health reports only for pools whose evidence changed, combined by a relay;"
        " longer leases",
    )


def _control_instances(costs: Costs) -> Budget:
    remaining = CONTROL_INSTANCES - CONTROL_REPLICAS - RELAYS
    groups = remaining // LEDGER_REPLICAS_PER_GROUP
    claims_per_s = groups * ledger_claims_per_s(costs)
    return Budget(
        "instances reserved for control",
        CONTROL_REPLICAS + RELAYS + groups * LEDGER_REPLICAS_PER_GROUP,
        CONTROL_INSTANCES,
        "instances",
        f"{CONTROL_REPLICAS} control replicas, a relay in each data centre and"
        f" {groups} groups of {LEDGER_REPLICAS_PER_GROUP} ledger replicas. With 1 GB of"
        f" keys in each replica, the groups can take {claims_per_s:.0f} claims a second"
        " all day. The requirements do not say how many are needed",
        "ledger entries stored as packed bytes",
    )


def _region_link(costs: Costs) -> Budget:
    other_region = DAEMONS / 2
    # Bytes per second of each kind of traffic.
    reports = other_region * health_reports(costs).bytes_per_s
    polls = other_region * table_polls(costs).bytes_per_s
    relay_tree = REGION_RELAYS * (
        beacon_exchanges(costs).bytes_per_s + membership_events(costs).bytes_per_s
    )
    return Budget(
        "link between regions, normal hours, control traffic only",
        (reports + polls + relay_tree) * 8 / 1e6,
        REGION_LINK_BITS_PER_S / 1e6,
        "Mbit/s",
        "sum of both directions: health reports to the floor owner"
        f" {reports * 8 / 1e6:.1f}, polls sent to the control replicas if there are no"
        f" relays {polls * 8 / 1e6:.1f}, the relay tree {relay_tree * 8 / 1e6:.2f}",
        "health reports only for pools whose evidence changed, combined by the"
        " region's relays",
    )


def _region_restart(costs: Costs) -> Budget:
    restart_bytes = DAEMONS / 2 * catch_up_bytes(costs)
    return Budget(
        "link between regions, all daemons restarted within a minute",
        restart_bytes * 8 / MINUTE_S / 1e6,
        REGION_LINK_BITS_PER_S / 1e6,
        "Mbit/s",
        "the complete tables sent to each daemon of the other region, which happens"
        " if the settings name only `control` as a source",
        f"relays in the region as first source: only {REGION_RELAYS} copies of the"
        f" tables cross the link, {REGION_RELAYS * catch_up_bytes(costs) / 1e6:.1f} MB",
    )
