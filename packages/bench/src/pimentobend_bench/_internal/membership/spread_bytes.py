"""Benchmark of the bytes and CPU time that spreading rows costs a daemon."""

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
IDLE_S = 20.0  # length of an idle measurement
SETTLE_S = 12.0  # time for a change to reach all daemons
DAY_S = 86_400
CHANGES_PER_DAY = 5_700
CHANGE_BYTES = 300
RESTARTS_PER_DAY = 1_500  # of daemons
LIMIT_BYTES_PER_S = 6_000  # per daemon


class _Sample(NamedTuple):
    """Measurements at one size of the fleet, in bytes per daemon."""

    daemons: int
    idle_per_s: float
    per_change: float
    per_restart: float  # at each other daemon, if one restarts
    per_start: float  # at the restarted daemon
    relay_idle_per_s: float  # per relay
    across_idle_per_s: float  # of the whole fleet, between regions


class SpreadBytesCommand(Command):
    """Prints bytes by fleet size, and the mean rate over an ordinary day."""

    name = "spread-bytes"
    usage = "spread-bytes [seed]"
    summary = "bytes and CPU time per second and daemon to spread rows"

    def run(self, args: Sequence[str]) -> Status:
        """Run with an optional seed."""
        seed = int(args[0]) if args else SEED
        print(f"spread-bytes: seed {seed}, 74 B per frame included, sent and received")
        print(
            f"{'daemons':>8} {'servers':>8} {'idle B/s':>9} {'B/change':>9}"
            f" {'B/restart':>10} {'B/start':>9} {'relay B/s':>10} {'across B/s':>11}"
            f" {'B/s a day':>10}"
        )
        worst = 0.0
        for daemons in DAEMONS:
            sample = _measure(daemons, seed)
            total = _mean_rate(sample)
            worst = max(worst, total)
            print(
                f"{daemons:8} {daemons * 11:8} {sample.idle_per_s:9.1f}"
                f" {sample.per_change:9.0f} {sample.per_restart:10.0f}"
                f" {sample.per_start:9.0f} {sample.relay_idle_per_s:10.0f}"
                f" {sample.across_idle_per_s:11.0f} {total:10.1f}"
            )
        self._print_target(seed)
        return Status.SUCCESS if worst <= LIMIT_BYTES_PER_S else Status.TARGET_MISSED

    def _print_target(self, seed: int) -> None:
        """Print size and CPU time of the target fleet's snapshot, and idle CPU time."""
        rows = _create_store(TARGET_DAEMONS)
        started = time.process_time()
        payload = encode_message(create_snapshot(rows))
        encoded = time.process_time()
        snapshot = decode_message(payload)
        decoded = time.process_time()
        client = SpreadClient("daemon", 1, ("relay",))
        client.handle(FromPeer("relay", snapshot), 0.0)
        applied = time.process_time()
        print(
            f"snapshot of {len(rows)} rows: {len(payload)} B,"
            f" encode {(encoded - started) * 1e3:.0f} ms,"
            f" decode {(decoded - encoded) * 1e3:.0f} ms,"
            f" apply {(applied - decoded) * 1e3:.0f} ms"
        )
        print(f"idle CPU time: {_time_idle(seed):.3f} % of a core per daemon")


def _mean_rate(sample: _Sample) -> float:
    """Return the bytes per second and daemon on an ordinary day, with starts."""
    changes = CHANGES_PER_DAY * sample.per_change
    restarts = RESTARTS_PER_DAY * sample.per_restart
    starts = RESTARTS_PER_DAY * sample.per_start / sample.daemons
    return sample.idle_per_s + (changes + restarts + starts) / DAY_S


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
    payload = bytes(number % 251 for number in range(CHANGE_BYTES))
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
    fleet.publish(name, create_rows(place, number, 1, change_count=1))
    fleet.start(name)
    fleet.run(0.5)
    fleet.publish(name, create_rows(place, number, 2))
    fleet.run(SETTLE_S - 0.5)
    others = [other for other in fleet.names(TreeRole.DAEMON) if other != name]
    total = sum(meter.received[other] + meter.sent[other] for other in others)
    return total / len(others), float(meter.received[name] + meter.sent[name])


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
    """Return the CPU time for an idle daemon's messages, in per cent of a core."""
    fleet = Fleet(FleetShape(2, 7, 5, 2, DAEMONS[0]), seed)
    fleet.lead("replica-0")
    fleet.run(SETTLE_S)
    name = fleet.names(TreeRole.DAEMON)[0]
    received: list[tuple[str, bytes]] = []

    def observe(sender: str, recipients: tuple[str, ...], message: PeerMessage) -> None:
        if name in recipients:
            received.append((sender, encode_message(message)))

    fleet.observers.append(observe)
    fleet.run(IDLE_S)
    node = fleet.nodes[name]
    started = time.process_time()
    for sender, payload in received * 100:
        for output in node.handle(FromPeer(sender, decode_message(payload)), fleet.now):
            if isinstance(output, ToPeers):
                encode_message(output.message)
    spent_s = (time.process_time() - started) / 100
    return spent_s / IDLE_S * 100
