"""Estimates of the state, messages, memory and CPU time of each role."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.budgets import CONTROL_REPLICAS
from pimentobend_bench._internal.capacity.page.budgets import LEDGER_MEMORY_BYTES
from pimentobend_bench._internal.capacity.page.budgets import RELAYS
from pimentobend_bench._internal.capacity.page.budgets import added_memory_bytes
from pimentobend_bench._internal.capacity.page.budgets import control_cpu_share
from pimentobend_bench._internal.capacity.page.budgets import ledger_claims_per_s
from pimentobend_bench._internal.capacity.page.budgets import peak_cpu_share
from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.flows import beacon_exchanges
from pimentobend_bench._internal.capacity.page.flows import daemon_flows
from pimentobend_bench._internal.capacity.page.flows import health_reports
from pimentobend_bench._internal.capacity.page.flows import membership_events
from pimentobend_bench._internal.capacity.page.flows import reports_per_s
from pimentobend_bench._internal.capacity.page.flows import table_changes
from pimentobend_bench._internal.capacity.page.flows import table_polls
from pimentobend_bench._internal.capacity.page.flows import total_bytes_per_s
from pimentobend_bench._internal.capacity.target import DAEMONS
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_bench._internal.capacity.target import SERVERS

_CORE = "pimentobend_core._internal"
KEYED_PER_MILLE = 1
DAEMONS_PER_RELAY = DAEMONS / RELAYS


class Role(NamedTuple):
    """One role and the estimates for it, as text for the page."""

    name: str
    state: tuple[str, ...]
    messages: tuple[str, ...]
    memory: str
    cpu_normal: str
    cpu_peak: str


def list_roles(costs: Costs) -> tuple[Role, ...]:
    """Return all roles of the fleet."""
    return (
        _estimate_daemon(costs),
        _estimate_relay(costs),
        _estimate_control(costs),
        _estimate_ledger(costs),
        _estimate_client(costs),
    )


def _estimate_daemon(costs: Costs) -> Role:
    flows = daemon_flows(costs)
    whole_mb = costs.parts[-1]["private_bytes"] / 1e6
    request_cpu_share = peak_cpu_share(costs)
    return Role(
        "instance daemon",
        (
            f"tables in force: {describe_module(f'{_CORE}.configuration.follower')}",
            f"compiled routes: {describe_module(f'{_CORE}.traffic.routing')}",
            f"servers of the fleet: {describe_module(f'{_CORE}.membership.view')}",
            "rows of the relay tree:"
            f" {describe_module(f'{_CORE}.membership.spread.store')}",
            f"leases of its servers: {describe_module(f'{_CORE}.membership.registry')}",
            f"pools' queues and slots: {describe_module(f'{_CORE}.traffic.pool')}",
            f"shares of organisations: {describe_module(f'{_CORE}.traffic.fairness')}",
            f"health of servers: {describe_module(f'{_CORE}.health.observer')}",
            f"claims in progress: {describe_module(f'{_CORE}.ledger.client')}",
        ),
        (
            f"{total_bytes_per_s(flows):.0f} B/s for control, in both directions"
            " (table above)",
        ),
        f"{whole_mb:.1f} MB for the whole process;"
        f" {added_memory_bytes(costs) / 1e6:.1f} MB of it added by control",
        f"{control_cpu_share(costs):.2%} of a core for control, which includes"
        f" {costs.daemon[-1]['idle_cpu_share']:.2%} at rest",
        f"the same, plus {request_cpu_share:.0%} of a core for 244 requests a second,"
        " one hop each; two hops need twice that",
    )


def _estimate_relay(costs: Costs) -> Role:
    polls = table_polls(costs, DAEMONS_PER_RELAY)
    changes = table_changes(costs)
    beacons = beacon_exchanges(costs, DAEMONS_PER_RELAY)
    rows = membership_events(costs)
    bytes_per_s = (
        beacons.bytes_per_s
        + polls.bytes_per_s
        + changes.per_s * DAEMONS_PER_RELAY * (changes.bytes_each)
    )
    bytes_per_s += rows.bytes_per_s * DAEMONS_PER_RELAY
    cpu_share = polls.cpu_share + changes.cpu_share + beacons.cpu_share + rows.cpu_share
    cpu_share += rows.per_s * DAEMONS_PER_RELAY * costs.frame_cpu_s
    cpu_share += changes.per_s * DAEMONS_PER_RELAY * costs.frame_cpu_s
    return Role(
        f"relay (one in each of {RELAYS} data centres,"
        f" for {DAEMONS_PER_RELAY:.0f} daemons each)",
        (
            "tables and recent deltas:"
            f" {describe_module(f'{_CORE}.configuration.history')}",
            "rows of the relay tree:"
            f" {describe_module(f'{_CORE}.membership.spread.relay')}",
            "versions of its followers:"
            f" {describe_module(f'{_CORE}.configuration.children')}",
        ),
        (
            f"{polls.per_s:.0f} polls for changes and {beacons.per_s:.0f} beacons a"
            f" second; {bytes_per_s / 1e3:.1f} KB/s in both directions, including"
            " changes and rows",
        ),
        f"{costs.at_size('memory-route-follower', ROUTES) / 1e6:.1f} MB of tables and"
        f" {costs.at_size('memory-spread-row', SERVERS) / 1e6:.1f} MB of rows on top"
        " of a daemon without data",
        f"{cpu_share:.2%} of a core",
        "as in normal hours: requests do not pass through relays",
    )


def _estimate_control(costs: Costs) -> Role:
    relay_polls = table_polls(costs, RELAYS / CONTROL_REPLICAS)
    daemon_polls = table_polls(costs, DAEMONS / CONTROL_REPLICAS)
    changes = table_changes(costs)
    reports = health_reports(costs)
    report_cores = reports.per_s * DAEMONS * costs.frame_cpu_s
    return Role(
        f"control replica ({CONTROL_REPLICAS})",
        (
            f"replicated log: {describe_module(f'{_CORE}.consensus.replica')}",
            "tables, and results by change id:"
            f" {describe_module(f'{_CORE}.configuration.state')}",
        ),
        (
            f"{changes.per_s:.3f} changes a second, each sent to"
            f" {CONTROL_REPLICAS - 1} replicas and to its relays",
            f"health reports: {reports_per_s() * DAEMONS:,.0f} a second,"
            f" {reports.bytes_per_s * DAEMONS / 1e6:.1f} MB/s, to the single floor"
            f" owner: {describe_module(f'{_CORE}.health.floor')}",
            f"with relays, {relay_polls.per_s:.1f} polls for changes a second; without"
            f" relays, {daemon_polls.per_s:.0f} polls a second and"
            f" {daemon_polls.bytes_per_s / 1e3:.1f} KB/s",
        ),
        f"{costs.at_size('memory-route-follower', ROUTES) / 1e6:.1f} MB of tables on"
        " top of a daemon without data; compaction bounds the log",
        f"{changes.cpu_share + relay_polls.cpu_share:.2%} of a core with relays,"
        f" {changes.cpu_share + daemon_polls.cpu_share:.2%} without; the floor owner"
        f" needs {report_cores:.1f} cores for the frames of the health reports alone",
        "as in normal hours: requests need no control replica",
    )


def _estimate_ledger(costs: Costs) -> Role:
    bytes_per_key = costs.per_unit("memory-ledger-key")
    claims_per_s = ledger_claims_per_s(costs)
    apply_cpu_s = costs.per_unit("cpu-ledger-claim")
    return Role(
        "ledger replica (groups of 3)",
        (
            f"keys of one day, {bytes_per_key:.0f} B each:"
            f" {describe_module(f'{_CORE}.ledger.state')}",
        ),
        (
            "two log entries per request with a key; each sends every replica at most"
            f" {costs.per_unit('bytes-ledger-replication'):.0f} B per request, plus"
            f" {costs.at_size('bytes-ledger-replication', 0):.0f} B per entry",
        ),
        f"1 GB holds {LEDGER_MEMORY_BYTES / bytes_per_key / 1e6:.1f} million keys:"
        f" {claims_per_s:.0f} claims a second per group, sustained all day",
        f"{claims_per_s * 2 * apply_cpu_s:.2%} of a core to apply entries at that"
        " rate; links and disk are not measured",
        f"a key on {KEYED_PER_MILLE} in 1,000 of 440,000 requests would mean 440 claims"
        f" a second, {440 / claims_per_s:.0f} groups of 1 GB if it lasted all day",
    )


def _estimate_client(costs: Costs) -> Role:
    return Role(
        "operators' client",
        ("none between commands",),
        (
            "`apply` sends both tables as JSON; the replicated change is"
            f" {costs.per_unit('bytes-change-spread'):.0f} B per changed row",
        ),
        "not measured",
        f"on the daemon, for {SERVERS:,} servers: not measured",
        "as in normal hours",
    )
