"""Estimates of the load that failures of each size put on the fleet."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.budgets import CONTROL_REPLICAS
from pimentobend_bench._internal.capacity.page.budgets import RELAYS
from pimentobend_bench._internal.capacity.page.budgets import catch_up_bytes
from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.flows import EVENTS_PER_RESTART
from pimentobend_bench._internal.capacity.page.flows import event_cpu_s
from pimentobend_bench._internal.capacity.target import CONTROL_BYTES_PER_S
from pimentobend_bench._internal.capacity.target import DAEMONS
from pimentobend_bench._internal.capacity.target import DATA_CENTRES
from pimentobend_bench._internal.capacity.target import REGION_LINK_BITS_PER_S
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_bench._internal.capacity.target import SERVERS
from pimentobend_bench._internal.capacity.target import SERVERS_PER_DAEMON

_CORE = "pimentobend_core._internal"
INSTANCES_PER_RACK = 40


class Failure(NamedTuple):
    """One kind of failure and the load that it causes, as text for the page."""

    name: str
    load: str
    daemon: str
    control: str
    mechanisms: tuple[str, ...]


def list_failures(costs: Costs) -> tuple[Failure, ...]:
    """Return all kinds of failure that the target names."""
    return (
        _instances_lost(costs, "an instance is lost (50 a day)", 1),
        _instances_lost(costs, "a rack or switch is lost (weekly)", INSTANCES_PER_RACK),
        _instances_lost(costs, "a data centre is lost", DAEMONS // DATA_CENTRES),
        _regions_disconnected(costs),
        _all_restart(costs),
    )


def _instances_lost(costs: Costs, name: str, instances: int) -> Failure:
    events = instances * SERVERS_PER_DAEMON * EVENTS_PER_RESTART
    load_bytes = events * costs.per_unit("bytes-spread-row")
    return Failure(
        name,
        f"{instances} daemons, {instances * SERVERS_PER_DAEMON:.0f} servers,"
        f" {events:.0f} membership events until all are back",
        f"{load_bytes / 1e3:.1f} KB ({load_bytes / CONTROL_BYTES_PER_S:.1f} s at the"
        f" budgeted rate), {events * event_cpu_s(costs):.2f} s of CPU",
        "none unless the tables change; a lost replica is replaced through the log",
        (
            describe_module(f"{_CORE}.membership.view"),
            describe_module(f"{_CORE}.membership.spread"),
            describe_module(f"{_CORE}.health.floor"),
        ),
    )


def _regions_disconnected(costs: Costs) -> Failure:
    missed_changes = 20.0  # in five minutes, at the mean rate of a day
    deltas_bytes = missed_changes * costs.per_unit("bytes-change-spread")
    return Failure(
        "the regions are disconnected for minutes",
        f"{DAEMONS // 2} daemons on each side receive nothing from the other",
        f"after five minutes, {missed_changes:.0f} missed changes:"
        f" {deltas_bytes / 1e3:.1f} KB; a view keeps at least half of a service's"
        " servers, however long the other side is silent",
        "the side without a majority refuses changes and keeps serving requests;"
        " claims there are refused as not run",
        (
            describe_module(f"{_CORE}.consensus.election"),
            describe_module(f"{_CORE}.configuration.follower"),
            describe_module(f"{_CORE}.ledger.client"),
            describe_module(f"{_CORE}.membership.view"),
        ),
    )


def _all_restart(costs: Costs) -> Failure:
    tables_bytes = catch_up_bytes(costs)
    compressed_bytes = costs.at_size("bytes-catch-up-compressed", ROUTES)
    serve_s = costs.at_size("cpu-catch-up-serve", ROUTES)
    apply_tables_s = costs.at_size("cpu-catch-up-take", ROUTES)
    rows_bytes = costs.at_size("bytes-spread-snapshot", SERVERS)
    apply_rows_s = SERVERS * event_cpu_s(costs)
    link_full_s = DAEMONS / 2 * tables_bytes * 8 / REGION_LINK_BITS_PER_S
    return Failure(
        "all daemons restart",
        f"{DAEMONS:,} daemons get {tables_bytes / 1e3:.0f} KB of tables each"
        f" ({compressed_bytes / 1e3:.0f} KB if compressed, which is not built) and"
        f" {rows_bytes / 1e3:.0f} KB of server rows",
        f"{apply_tables_s * 1e3:.0f} ms of CPU to apply the tables,"
        f" {apply_rows_s:.1f} s for the server rows;"
        f" {(tables_bytes + rows_bytes) / CONTROL_BYTES_PER_S:.0f} s to receive them at"
        " the budgeted rate",
        f"{serve_s * 1e3:.0f} ms of CPU per daemon:"
        f" {DAEMONS / CONTROL_REPLICAS * serve_s:.0f} s of a core on each of"
        f" {CONTROL_REPLICAS} replicas without relays, or"
        f" {DAEMONS / RELAYS * serve_s:.0f} s on each of {RELAYS} relays;"
        " without relays in the other region, the link between regions is full for"
        f" {link_full_s:.0f} s",
        (
            describe_module(f"{_CORE}.configuration.follower"),
            describe_module(f"{_CORE}.membership.spread.gate"),
            describe_module(f"{_CORE}.membership.registry"),
        ),
    )
