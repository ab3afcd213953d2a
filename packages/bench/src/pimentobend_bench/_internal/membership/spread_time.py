"""Benchmark of the time until a change is in force at all daemons."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_bench._internal.membership.fleet import FleetShape
from pimentobend_bench._internal.membership.meter import Meter
from pimentobend_bench._internal.membership.servers import create_rows
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.plan import TreeRole

SEED = 5
DAEMONS = (50, 200, 600, 1800)
SETTLE_S = 6.0  # simulated time before the fault
FAILOVER_S = 3.0  # simulated time until another replica leads
FAULT_LIMIT_S = 9.0  # target under a fault
NO_FAULT_LIMIT_S = 3.0  # target without a fault
RUN_LIMIT_S = 60.0
RESTART_LIMIT_S = 300.0
RESTART_DAEMONS = (50, 100, 200)


class _Fault(NamedTuple):
    """A fault that occurs just before the change."""

    name: str
    limit_s: float
    inject: Callable[[Fleet], None]


def _no_fault(fleet: Fleet) -> None:
    fleet.run(0.0)


def _lose_relay(fleet: Fleet) -> None:
    fleet.stop("relay-dc1-0")


def _lose_replica(fleet: Fleet) -> None:
    """Stop the replica that passes changes on to the region without the leader."""
    fleet.stop("replica-1")


def _lose_relays_of_a_data_centre(fleet: Fleet) -> None:
    fleet.stop("relay-dc1-0")
    fleet.stop("relay-dc1-1")


def _lose_root(fleet: Fleet) -> None:
    """Stop the leading replica, the root of the relay tree; then let another lead."""
    fleet.stop("replica-0")
    fleet.run(FAILOVER_S)
    fleet.lead("replica-2")


FAULTS = (
    _Fault("none", NO_FAULT_LIMIT_S, _no_fault),
    _Fault("one relay", FAULT_LIMIT_S, _lose_relay),
    _Fault("replica of other region", FAULT_LIMIT_S, _lose_replica),
    _Fault("both relays of a centre", FAULT_LIMIT_S, _lose_relays_of_a_data_centre),
    _Fault("root 3 s before the change", FAULT_LIMIT_S, _lose_root),
)


class SpreadTimeCommand(Command):
    """Prints the time until a change is in force, by fault and fleet size."""

    name = "spread-time"
    usage = "spread-time [seed]"
    summary = "simulated time until a change is in force at all daemons"

    def run(self, args: Sequence[str]) -> Status:
        """Run with an optional seed."""
        seed = int(args[0]) if args else SEED
        print(
            f"spread-time: seed {seed};"
            " seconds until a change is in force at all daemons"
        )
        print(f"{'fault':26} {'limit':>6} " + " ".join(f"{n:>7}" for n in DAEMONS))
        status = Status.SUCCESS
        for fault in FAULTS:
            times = [_measure(fault, daemons, seed) for daemons in DAEMONS]
            shown = " ".join("timeout" if t is None else f"{t:7.1f}" for t in times)
            print(f"{fault.name:26} {fault.limit_s:6.0f} {shown}")
            if any(t is None or t > fault.limit_s for t in times):
                status = Status.TARGET_MISSED
        _print_restarts(seed)
        return status


def _start(daemons: int, seed: int) -> Fleet:
    fleet = Fleet(FleetShape(2, 7, 5, 2, daemons), seed)
    fleet.lead("replica-0")
    fleet.run(SETTLE_S)
    return fleet


def _measure(fault: _Fault, daemons: int, seed: int) -> float | None:
    fleet = _start(daemons, seed)
    fault.inject(fleet)
    author = fleet.names(TreeRole.DAEMON)[0]
    row = Row(RowId(RowKind.SERVERS, author, "row"), Rank(1, 1), b"row")
    names = fleet.names(TreeRole.DAEMON)
    fleet.publish(author, [row])
    return fleet.run_until(
        lambda: all(fleet.arrived[name].get(row.row_id) == row for name in names),
        RUN_LIMIT_S,
    )


def _print_restarts(seed: int) -> None:
    print(
        "restart of all instances | of all daemons, with the control instances running:"
        " seconds until all rows have arrived, bytes per second of the busiest control"
        " instance, bytes per daemon"
    )
    print(
        f"{'daemons':>8} {'all s':>7} {'B/s busiest control':>20} {'B a daemon':>11}"
        f" | {'daemons s':>9} {'B/s busiest control':>20} {'B a daemon':>11}"
    )
    for daemons in RESTART_DAEMONS:
        fleet = Fleet(FleetShape(2, 7, 5, 2, daemons), seed)
        meter = Meter(fleet)
        fleet.lead("replica-0")
        all_instances = _publish_all_rows(fleet, meter, 1)
        for name in fleet.names(TreeRole.DAEMON):
            fleet.start(name)
        meter.reset()
        only_daemons = _publish_all_rows(fleet, meter, 2)
        print(f"{daemons:8} {all_instances} | {only_daemons}")


def _publish_all_rows(fleet: Fleet, meter: Meter, epoch: int) -> str:
    """Let all daemons publish their servers and wait until all rows have arrived.

    Return the columns of time and load.
    """
    names = fleet.names(TreeRole.DAEMON)
    rows = [
        row
        for number, name in enumerate(names)
        for row in create_rows(fleet.places[name], number, epoch)
    ]
    for name in names:
        fleet.publish(name, [row for row in rows if row.row_id.author == name])
    took_s = fleet.run_until(lambda: _have_all(fleet, names, rows), RESTART_LIMIT_S)
    if took_s is None:
        return "timeout"
    control_rate = meter.maximum(TreeRole.REPLICA, TreeRole.RELAY) / took_s
    return f"{took_s:7.1f} {control_rate:20.0f} {meter.mean(TreeRole.DAEMON):11.0f}"


def _have_all(fleet: Fleet, names: list[str], rows: list[Row]) -> bool:
    return all(
        fleet.arrived[name].get(row.row_id) == row for name in names for row in rows
    )
