"""Work out what failures of each size ask of the fleet."""

from typing import NamedTuple

from pimentobend_bench._internal.capacity.page.budgets import CONTROL_REPLICAS
from pimentobend_bench._internal.capacity.page.budgets import RELAYS
from pimentobend_bench._internal.capacity.page.budgets import catch_up_bytes
from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.flows import EVENTS_PER_LIFE
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


class FailureDay(NamedTuple):
    """Describe one kind of failure in words and figures."""

    name: str
    load: str
    daemon: str
    control: str
    mechanisms: tuple[str, ...]


def list_failures(costs: Costs) -> tuple[FailureDay, ...]:
    """Return every kind of failure that the target names."""
    return (
        _lost(costs, "an instance (50 a day)", 1),
        _lost(costs, "a rack or switch (weekly)", INSTANCES_PER_RACK),
        _lost(costs, "a data centre", DAEMONS // DATA_CENTRES),
        _split(costs),
        _restart(costs),
    )


def _lost(costs: Costs, name: str, instances: int) -> FailureDay:
    events = instances * SERVERS_PER_DAEMON * EVENTS_PER_LIFE
    load_bytes = events * costs.per_unit("bytes-spread-row")
    return FailureDay(
        name,
        f"{instances} daemons, {instances * SERVERS_PER_DAEMON:.0f} servers,"
        f" {events:.0f} events until all are back",
        f"{load_bytes / 1e3:.1f} KB: {load_bytes / CONTROL_BYTES_PER_S:.1f} s of its"
        f" bytes a second, {events * event_cpu_s(costs):.2f} s of CPU",
        "none while the tables stay; a lost replica is replaced through the log",
        (
            describe_module(f"{_CORE}.membership.view"),
            describe_module(f"{_CORE}.membership.spread"),
            describe_module(f"{_CORE}.health.floor"),
        ),
    )


def _split(costs: Costs) -> FailureDay:
    missed_changes = 20.0  # five minutes at the day's mean rate
    deltas_bytes = missed_changes * costs.per_unit("bytes-change-spread")
    return FailureDay(
        "regions lose each other for minutes",
        f"{DAEMONS // 2} daemons each side hear nothing of the other",
        f"after five minutes {missed_changes:.0f} missed changes:"
        f" {deltas_bytes / 1e3:.1f} KB; a view keeps half of a service's servers"
        " whatever the silence",
        "the side without a majority refuses changes and serves on; claims there are"
        " refused as not run",
        (
            describe_module(f"{_CORE}.consensus.election"),
            describe_module(f"{_CORE}.configuration.follower"),
            describe_module(f"{_CORE}.ledger.client"),
            describe_module(f"{_CORE}.membership.view"),
        ),
    )


def _restart(costs: Costs) -> FailureDay:
    whole = catch_up_bytes(costs)
    compressed = costs.at_size("bytes-catch-up-compressed", ROUTES)
    serve_s = costs.at_size("cpu-catch-up-serve", ROUTES)
    take_s = costs.at_size("cpu-catch-up-take", ROUTES)
    rows = costs.at_size("bytes-spread-snapshot", SERVERS)
    rows_s = SERVERS * event_cpu_s(costs)
    link_s = DAEMONS / 2 * whole * 8 / REGION_LINK_BITS_PER_S
    return FailureDay(
        "restart of everything",
        f"{DAEMONS:,} catch-ups of {whole / 1e3:.0f} KB of tables"
        f" ({compressed / 1e3:.0f} KB if compressed, which is not built) and"
        f" {rows / 1e3:.0f} KB of servers",
        f"{take_s * 1e3:.0f} ms of CPU to take the tables, {rows_s:.1f} s the servers;"
        f" {(whole + rows) / CONTROL_BYTES_PER_S:.0f} s of its bytes a second",
        f"{serve_s * 1e3:.0f} ms of CPU a catch-up:"
        f" {DAEMONS / CONTROL_REPLICAS * serve_s:.0f} s of a core on each of"
        f" {CONTROL_REPLICAS} replicas without relays,"
        f" {DAEMONS / RELAYS * serve_s:.0f} s on each of {RELAYS} relays;"
        f" the link between regions is full for {link_s:.0f} s without relays there",
        (
            describe_module(f"{_CORE}.configuration.follower"),
            describe_module(f"{_CORE}.membership.spread.gate"),
            describe_module(f"{_CORE}.membership.registry"),
        ),
    )
