"""Describe what each role of the fleet holds and uses."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.budgets import CONTROL_REPLICAS
from pimentobend_bench._internal.capacity.page.budgets import LEDGER_MEMORY_BYTES
from pimentobend_bench._internal.capacity.page.budgets import RELAYS
from pimentobend_bench._internal.capacity.page.budgets import added_memory_bytes
from pimentobend_bench._internal.capacity.page.budgets import control_cpu_share
from pimentobend_bench._internal.capacity.page.budgets import ledger_keys_per_s
from pimentobend_bench._internal.capacity.page.budgets import peak_cpu_share
from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.flows import beacons
from pimentobend_bench._internal.capacity.page.flows import changes
from pimentobend_bench._internal.capacity.page.flows import daemon_flows
from pimentobend_bench._internal.capacity.page.flows import digest_exchange
from pimentobend_bench._internal.capacity.page.flows import evidence
from pimentobend_bench._internal.capacity.page.flows import membership
from pimentobend_bench._internal.capacity.page.flows import reports_per_s
from pimentobend_bench._internal.capacity.page.flows import total_bytes_per_s
from pimentobend_bench._internal.capacity.target import DAEMONS
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_bench._internal.capacity.target import SERVERS

_CORE = "pimentobend_core._internal"
KEYED_PER_MILLE = 1
DAEMONS_PER_RELAY = DAEMONS / RELAYS


class Role(NamedTuple):
    """Describe one role in words and figures."""

    name: str
    state: tuple[str, ...]
    messages: tuple[str, ...]
    memory: str
    cpu_normal: str
    cpu_peak: str


def list_roles(costs: Costs) -> tuple[Role, ...]:
    """Return every role."""
    return (
        _daemon(costs),
        _relay(costs),
        _control(costs),
        _ledger(costs),
        _client(costs),
    )


def _daemon(costs: Costs) -> Role:
    flows = daemon_flows(costs)
    whole_mb = costs.parts[-1]["private_bytes"] / 1e6
    hop_cpu_ms = peak_cpu_share(costs)
    return Role(
        "instance daemon",
        (
            f"tables in force: {describe_module(f'{_CORE}.configuration.follower')}",
            f"routes compiled: {describe_module(f'{_CORE}.traffic.routing')}",
            f"servers of the fleet: {describe_module(f'{_CORE}.membership.view')}",
            f"rows of the tree: {describe_module(f'{_CORE}.membership.spread.store')}",
            f"leases of its own: {describe_module(f'{_CORE}.membership.registry')}",
            f"pools' queues and slots: {describe_module(f'{_CORE}.traffic.pool')}",
            f"organisations: {describe_module(f'{_CORE}.traffic.fairness')}",
            f"servers' health: {describe_module(f'{_CORE}.health.observer')}",
            f"claims in hand: {describe_module(f'{_CORE}.ledger.client')}",
        ),
        (f"{total_bytes_per_s(flows):.0f} B/s for control, both ways (table below)",),
        f"{whole_mb:.1f} MB whole process,"
        f" {added_memory_bytes(costs) / 1e6:.1f} MB added by control",
        f"{control_cpu_share(costs):.2%} of a core for control,"
        f" {costs.daemon[-1]['idle_cpu_share']:.2%} of it at rest",
        f"the same, and {hop_cpu_ms:.0%} of a core for 244 requests a second,"
        " one hop each; two hops take twice that",
    )


def _relay(costs: Costs) -> Role:
    asked = digest_exchange(costs, DAEMONS_PER_RELAY)
    pushed = changes(costs)
    heard = beacons(costs, DAEMONS_PER_RELAY)
    rows = membership(costs)
    sent_bytes = (
        heard.bytes_per_s
        + asked.bytes_per_s
        + pushed.per_s * DAEMONS_PER_RELAY * (pushed.bytes_each)
    )
    sent_bytes += rows.bytes_per_s * DAEMONS_PER_RELAY
    cpu = asked.cpu_share + pushed.cpu_share + heard.cpu_share + rows.cpu_share
    cpu += rows.per_s * DAEMONS_PER_RELAY * costs.frame_cpu_s
    cpu += pushed.per_s * DAEMONS_PER_RELAY * costs.frame_cpu_s
    return Role(
        f"relay (one in each of {RELAYS} data centres,"
        f" {DAEMONS_PER_RELAY:.0f} daemons each)",
        (
            "tables and the last deltas:"
            f" {describe_module(f'{_CORE}.configuration.history')}",
            f"rows of the tree: {describe_module(f'{_CORE}.membership.spread.relay')}",
            "its followers' versions:"
            f" {describe_module(f'{_CORE}.configuration.children')}",
        ),
        (
            f"{asked.per_s:.0f} digest questions and {heard.per_s:.0f} beacons a"
            f" second, {sent_bytes / 1e3:.1f} KB/s both ways with changes and rows",
        ),
        f"{costs.at_size('memory-route-follower', ROUTES) / 1e6:.1f} MB of tables and"
        f" {costs.at_size('memory-spread-row', SERVERS) / 1e6:.1f} MB of rows above a"
        " bare daemon",
        f"{cpu:.2%} of a core",
        "as in normal hours: requests do not pass a relay",
    )


def _control(costs: Costs) -> Role:
    asked = digest_exchange(costs, RELAYS / CONTROL_REPLICAS)
    direct = digest_exchange(costs, DAEMONS / CONTROL_REPLICAS)
    pushed = changes(costs)
    reports = evidence(costs)
    reports_cpu = reports.per_s * DAEMONS * costs.frame_cpu_s
    return Role(
        f"control replica ({CONTROL_REPLICAS})",
        (
            f"replicated log: {describe_module(f'{_CORE}.consensus.replica')}",
            "tables, answers to change ids:"
            f" {describe_module(f'{_CORE}.configuration.state')}",
        ),
        (
            f"{pushed.per_s:.3f} changes a second, each to"
            f" {CONTROL_REPLICAS - 1} replicas and to its relays",
            f"evidence of health: {reports_per_s() * DAEMONS:,.0f} reports a second,"
            f" {reports.bytes_per_s * DAEMONS / 1e6:.1f} MB/s, to the one owner of the"
            f" floor: {describe_module(f'{_CORE}.health.floor')}",
            f"with relays {asked.per_s:.1f} digest questions a second; without,"
            f" {direct.per_s:.0f} and {direct.bytes_per_s / 1e3:.1f} KB/s",
        ),
        f"{costs.at_size('memory-route-follower', ROUTES) / 1e6:.1f} MB of tables above"
        " a bare daemon; the log is bounded by compaction",
        f"{pushed.cpu_share + asked.cpu_share:.2%} of a core with relays,"
        f" {pushed.cpu_share + direct.cpu_share:.2%} without; the owner of the floor"
        f" {reports_cpu:.1f} cores for the reports' frames alone",
        "as in normal hours: requests need no control replica",
    )


def _ledger(costs: Costs) -> Role:
    each_bytes = costs.per_unit("memory-ledger-key")
    claims_per_s = ledger_keys_per_s(costs)
    apply_cpu_s = costs.per_unit("cpu-ledger-claim")
    return Role(
        "ledger replica (groups of 3)",
        (
            f"keys of a day, {each_bytes:.0f} B each:"
            f" {describe_module(f'{_CORE}.ledger.state')}",
        ),
        (
            "two log entries a keyed request, each"
            f" {costs.per_unit('bytes-ledger-replication'):.0f} B or less a replica"
            f" beside {costs.at_size('bytes-ledger-replication', 0):.0f} B an entry",
        ),
        f"1 GB holds {LEDGER_MEMORY_BYTES / each_bytes / 1e6:.1f} million keys:"
        f" {claims_per_s:.0f} claims a second all day long, a group",
        f"{claims_per_s * 2 * apply_cpu_s:.2%} of a core to apply at that rate;"
        " links and disk not measured",
        f"{KEYED_PER_MILLE} in 1,000 of 440,000 requests keyed would be 440 claims a"
        f" second, {440 / claims_per_s:.0f} groups of 1 GB if it lasted all day",
    )


def _client(costs: Costs) -> Role:
    return Role(
        "operators' client",
        ("none between commands",),
        (
            "an apply carries both tables as JSON; the replicated change is"
            f" {costs.per_unit('bytes-change-spread'):.0f} B a row",
        ),
        "not measured",
        f"server side of {SERVERS:,} servers: not measured",
        "as in normal hours",
    )
