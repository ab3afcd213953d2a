"""Measure bytes and processor time that the spread costs a daemon."""

import time
from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_bench._internal.membership.fleet import FleetShape
from pimentobend_bench._internal.membership.meter import Meter
from pimentobend_bench._internal.membership.servers import create_rows
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.client import SpreadClient
from pimentobend_core._internal.membership.spread.client import create_snapshot
from pimentobend_core._internal.membership.spread.codec import decode_message
from pimentobend_core._internal.membership.spread.codec import encode_message
from pimentobend_core._internal.membership.spread.messages import FromPeer
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.messages import Position
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.messages import ToPeers
from pimentobend_core._internal.membership.spread.plan import TreeRole
from pimentobend_core._internal.membership.spread.store import RowStore

SEED = 5
DAEMONS = (50, 100, 200, 400)
TARGET_DAEMONS = 1800
IDLE_S = 20.0
SETTLE_S = 12.0
DAY_S = 86_400
CHANGES_A_DAY = 5_700
CHANGE_BYTES = 300
RESTARTS_A_DAY = 1_500
LIMIT_BYTES_A_SECOND = 6_000


class _Sample(NamedTuple):
    """Hold what one size of fleet gave, in bytes a daemon."""

    daemons: int
    idle_a_second: float
    a_change: float
    a_restart: float  # at all others
    a_start: float  # at the restarted one
    relay_idle_a_second: float
    across_idle_a_second: float


class SpreadBytesCommand(Command):
    """Print bytes by size of fleet, and what they come to a day."""

    name = "spread-bytes"
    usage = "spread-bytes [seed]"
    summary = "bytes and processor time of the spread a second a daemon"

    def run(self, args: Sequence[str]) -> Status:
        """Run with an optional seed."""
        seed = int(args[0]) if args else SEED
        print(f"spread-bytes: seed {seed}, 74 B a frame included, sent and taken")
        print(
            f"{'daemons':>8} {'servers':>8} {'idle B/s':>9} {'B/change':>9}"
            f" {'B/restart':>10} {'B/start':>9} {'relay B/s':>10} {'across B/s':>11}"
            f" {'B/s a day':>10}"
        )
        worst = 0.0
        for daemons in DAEMONS:
            sample = _measure(daemons, seed)
            total = _total(sample)
            worst = max(worst, total)
            print(
                f"{daemons:8} {daemons * 11:8} {sample.idle_a_second:9.1f}"
                f" {sample.a_change:9.0f} {sample.a_restart:10.0f}"
                f" {sample.a_start:9.0f} {sample.relay_idle_a_second:10.0f}"
                f" {sample.across_idle_a_second:11.0f} {total:10.1f}"
            )
        self._print_target(seed)
        return Status.SUCCESS if worst <= LIMIT_BYTES_A_SECOND else Status.TARGET_MISSED

    def _print_target(self, seed: int) -> None:
        """Print the snapshot and the processor time at the target's size."""
        rows = _create_store(TARGET_DAEMONS)
        began = time.process_time()
        payload = encode_message(create_snapshot(rows))
        encoded = time.process_time()
        snapshot = decode_message(payload)
        decoded = time.process_time()
        client = SpreadClient("daemon", 1, ("relay",))
        client.handle(FromPeer("relay", snapshot), 0.0)
        applied = time.process_time()
        print(
            f"snapshot of {len(rows)} rows: {len(payload)} B,"
            f" encode {(encoded - began) * 1e3:.0f} ms,"
            f" decode {(decoded - encoded) * 1e3:.0f} ms,"
            f" apply {(applied - decoded) * 1e3:.0f} ms"
        )
        print(f"idle processor time: {_time_idle(seed):.3f} % of a core a daemon")


def _total(sample: _Sample) -> float:
    """Return bytes a second a daemon on an ordinary day, starts included."""
    changes = CHANGES_A_DAY * sample.a_change
    restarts = RESTARTS_A_DAY * sample.a_restart
    starts = RESTARTS_A_DAY * sample.a_start / sample.daemons
    return sample.idle_a_second + (changes + restarts + starts) / DAY_S


def _measure(daemons: int, seed: int) -> _Sample:
    fleet = Fleet(FleetShape(2, 7, 5, 2, daemons), seed)
    fleet.lead("replica-0")
    fleet.run(3.0)
    names = fleet.names(TreeRole.DAEMON)
    for number, name in enumerate(names):
        fleet.publish(name, create_rows(fleet.places[name], number, 1))
    fleet.run(SETTLE_S)
    meter = Meter(fleet)
    fleet.run(IDLE_S)
    idle = meter.mean(TreeRole.DAEMON) / IDLE_S
    relay_idle = meter.mean(TreeRole.RELAY) / IDLE_S
    across_idle = meter.across / IDLE_S
    change = _measure_change(fleet, meter) - idle * SETTLE_S
    restart, start = _measure_restart(fleet, meter, names[-1], daemons - 1)
    return _Sample(
        daemons,
        idle,
        change,
        restart - idle * SETTLE_S,
        start,
        relay_idle,
        across_idle,
    )


def _measure_change(fleet: Fleet, meter: Meter) -> float:
    payload = bytes(fleet_byte % 251 for fleet_byte in range(CHANGE_BYTES))
    row_id = RowId(RowKind.CONFIGURATION, "replica-0", "change-1")
    meter.reset()
    fleet.publish("replica-0", [Row(row_id, Rank(1, 1), payload)])
    fleet.run(SETTLE_S)
    return meter.mean(TreeRole.DAEMON)


def _measure_restart(
    fleet: Fleet, meter: Meter, name: str, number: int
) -> tuple[float, float]:
    meter.reset()
    place = fleet.places[name]
    fleet.publish(name, create_rows(place, number, 1, change=1))
    fleet.start(name)
    fleet.run(0.5)
    fleet.publish(name, create_rows(place, number, 2))
    fleet.run(SETTLE_S - 0.5)
    others = [other for other in fleet.names(TreeRole.DAEMON) if other != name]
    total = sum(meter.taken[other] + meter.sent[other] for other in others)
    return total / len(others), float(meter.taken[name] + meter.sent[name])


def _create_store(daemons: int) -> RowStore:
    fleet = Fleet(FleetShape(2, 7, 0, 0, daemons), seed=0)
    store = RowStore()
    rows = (
        row
        for number, place in enumerate(fleet.places.values())
        for row in create_rows(place, number, 1)
    )
    for index, row in enumerate(rows):
        store.put(NumberedRow(index + 1, row), 0.0)
    store.position = Position(1, len(store))
    return store


def _time_idle(seed: int) -> float:
    """Return the share of a core for a daemon's beacons, in per cent."""
    fleet = Fleet(FleetShape(2, 7, 5, 2, DAEMONS[0]), seed)
    fleet.lead("replica-0")
    fleet.run(SETTLE_S)
    name = fleet.names(TreeRole.DAEMON)[0]
    heard: list[tuple[str, bytes]] = []

    def observe(sender: str, recipients: tuple[str, ...], message: PeerMessage) -> None:
        if name in recipients:
            heard.append((sender, encode_message(message)))

    fleet.observers.append(observe)
    fleet.run(IDLE_S)
    node = fleet.nodes[name]
    began = time.process_time()
    for sender, payload in heard * 100:
        for output in node.handle(FromPeer(sender, decode_message(payload)), fleet.now):
            if isinstance(output, ToPeers):
                encode_message(output.message)
    spent_s = (time.process_time() - began) / 100
    return spent_s / IDLE_S * 100
