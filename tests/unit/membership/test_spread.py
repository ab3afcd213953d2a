"""Test how fast rows reach all instances under faults, and with how much traffic."""

import pytest

from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_bench._internal.membership.fleet import FleetShape
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.rows import read_rows
from pimentobend_core._internal.membership.spread import relay
from pimentobend_core._internal.membership.spread.gate import SnapshotGate
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.plan import TreeRole

SHAPE = FleetShape(
    regions=2, data_centres=4, replicas=5, relays_per_data_centre=2, daemons=24
)
NO_FAULT_LIMIT_S = 3.0
FAULT_LIMIT_S = 9.0
FAILOVER_S = 3.0  # time without a root until consensus has elected the next one
AUTHOR = "daemon-0000"  # in region r0


def _create_row(number: int, kind: RowKind = RowKind.EJECTIONS) -> Row:
    return Row(RowId(kind, AUTHOR, "row"), Rank(1, number), b"%d" % number)


def _start() -> Fleet:
    fleet = Fleet(SHAPE, seed=3)
    fleet.lead("replica-0")
    fleet.run(5.0)
    return fleet


def _time_replication(
    fleet: Fleet, row: Row, limit_s: float, region: str = ""
) -> float | None:
    """Publish a row; return the seconds until all daemons have it, or None."""
    names = [
        name
        for name in fleet.names(TreeRole.DAEMON)
        if region in ("", fleet.places[name].region)
    ]
    fleet.publish(AUTHOR, [row])
    return fleet.run_until(
        lambda: all(fleet.arrived[name].get(row.row_id) == row for name in names),
        limit_s,
    )


def _no_fault(fleet: Fleet) -> None:
    assert fleet.leader == "replica-0"


def _lose_relay(fleet: Fleet) -> None:
    fleet.stop("relay-dc1-0")


def _lose_relay_of_author(fleet: Fleet) -> None:
    fleet.stop(fleet.nodes[AUTHOR].dump()["parent"])  # type: ignore[arg-type]


def _lose_first_replica_of_region(fleet: Fleet) -> None:
    fleet.stop("replica-1")


def _lose_rack(fleet: Fleet) -> None:
    for name in ("replica-0", "relay-dc0-0", "daemon-0004"):
        fleet.stop(name)
    fleet.run(FAILOVER_S)
    fleet.lead("replica-1")


def _deafen_relay(fleet: Fleet) -> None:
    others = [name for name in fleet.nodes if name != "relay-dc1-0"]
    fleet.cut_off(others, ["relay-dc1-0"])


@pytest.mark.parametrize(
    ("fault", "limit_s"),
    [
        (_no_fault, NO_FAULT_LIMIT_S),
        (_lose_relay, FAULT_LIMIT_S),
        (_lose_relay_of_author, FAULT_LIMIT_S),
        (_lose_first_replica_of_region, FAULT_LIMIT_S),
        (_lose_rack, FAULT_LIMIT_S),
        (_deafen_relay, FAULT_LIMIT_S),
    ],
)
def test_row_reaches_all_daemons_in_time(fault: object, limit_s: float) -> None:
    fleet = _start()
    assert callable(fault)
    fault(fleet)
    assert _time_replication(fleet, _create_row(1), limit_s) is not None


@pytest.mark.parametrize("leader", ["replica-0", "replica-1"])
def test_rows_replicate_within_each_side_of_a_partition(leader: str) -> None:
    fleet = _start()
    fleet.lead(leader)
    fleet.run(5.0)
    sides = [
        [name for name in fleet.nodes if fleet.places[name].region == region]
        for region in ("r0", "r1")
    ]
    fleet.cut_off(*sides)
    fleet.cut_off(*reversed(sides))
    fleet.run(20.0)
    assert (
        _time_replication(fleet, _create_row(1), NO_FAULT_LIMIT_S, region="r0")
        is not None
    )
    fleet.mend()
    assert _time_replication(fleet, _create_row(2), 90.0) is not None


@pytest.mark.parametrize("hears", [True, False])
def test_instance_with_a_one_way_link_is_lost(hears: bool) -> None:
    fleet = _start()
    others = [name for name in fleet.nodes if name != AUTHOR]
    fleet.cut_off(*((others, [AUTHOR]) if hears else ([AUTHOR], others)))
    fleet.run(12.0)
    assert _read_liveness(fleet) == InstanceLost(AUTHOR)
    fleet.mend()
    fleet.run(12.0)
    assert _read_liveness(fleet) == InstanceFound(AUTHOR, 1)


def _read_liveness(fleet: Fleet) -> object:
    row = fleet.arrived["daemon-0007"][RowId(RowKind.LIVENESS, AUTHOR, "")]
    faults: list[CodecError] = []
    (liveness,) = read_rows((row,), faults.append)
    assert faults == []
    return liveness


def test_daemon_lost_with_its_relay_is_reported() -> None:
    fleet = _start()
    fleet.stop(fleet.nodes[AUTHOR].dump()["parent"])  # type: ignore[arg-type]
    fleet.stop(AUTHOR)
    fleet.run(30.0)
    assert _read_liveness(fleet) == InstanceLost(AUTHOR)


def test_peers_serve_rows_while_control_is_down() -> None:
    fleet = _start()
    row = _create_row(1, RowKind.CONFIGURATION)
    assert _time_replication(fleet, row, FAULT_LIMIT_S) is not None
    for name in (*fleet.names(TreeRole.REPLICA), *fleet.names(TreeRole.RELAY)):
        fleet.stop(name)
    fleet.run(3600.0)
    fleet.start("daemon-0004")
    served_s = fleet.run_until(
        lambda: fleet.arrived["daemon-0004"].get(row.row_id) == row, 30.0
    )
    assert served_s is not None


def test_concurrent_snapshots_are_bounded() -> None:
    gate = SnapshotGate(bytes_per_second=30_000.0)
    admitted = sum(gate.admit(rows=1000, now=0.0) for _ in range(100))
    assert admitted == 3
    assert sum(gate.admit(rows=1000, now=10.0) for _ in range(100)) == 3


def test_a_row_crosses_between_regions_once() -> None:
    fleet = _start()
    crossings: list[str] = []

    def observe(sender: str, recipients: tuple[str, ...], message: PeerMessage) -> None:
        if isinstance(message, Delta) and message.rows:
            region = fleet.places[sender].region
            crossings.extend(
                name for name in recipients if fleet.places[name].region != region
            )

    fleet.observers.append(observe)
    assert _time_replication(fleet, _create_row(1), NO_FAULT_LIMIT_S) is not None
    assert crossings == ["replica-1"]


def _has_rows(fleet: Fleet, name: str, rows: list[Row]) -> bool:
    return all(row.row_id in fleet.arrived[name] for row in rows)


@pytest.mark.parametrize("flush_bytes", [300, 3000])
def test_deltas_after_a_restart_of_the_fleet_are_paced(
    flush_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "FLUSH_BYTES", flush_bytes)
    fleet = Fleet(SHAPE, seed=3)
    fleet.lead("replica-0")
    sizes: list[int] = []

    def observe(sender: str, recipients: tuple[str, ...], message: PeerMessage) -> None:
        if isinstance(message, Delta) and len(recipients) > 1:
            sizes.append(len(message.rows) * len(recipients) * relay.ROW_BYTES)

    fleet.observers.append(observe)
    names = fleet.names(TreeRole.DAEMON)
    rows = [Row(RowId(RowKind.EJECTIONS, n, "row"), Rank(1, 1), b"") for n in names]
    for row in rows:
        fleet.publish(row.row_id.author, [row])
    took_s = fleet.run_until(
        lambda: all(
            row.row_id in fleet.arrived[name] for name in names for row in rows
        ),
        60.0,
    )
    assert took_s is not None
    assert sizes
    assert max(sizes) <= flush_bytes
