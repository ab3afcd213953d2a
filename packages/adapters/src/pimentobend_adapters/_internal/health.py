"""Run one health task a pool between the request tasks and the floor's owner."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import eventlet

from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.health.limits import TICK_S
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthOutput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.observer import PoolHealth
from pimentobend_core._internal.health.ticks import TickRounds
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

HealthTask = FilterTask[HealthInput, HealthOutput]
GiveWeights = Callable[[str, HealthChanged], None]


class HealthTasks:
    """Own the health tasks and pass their outputs on by kind."""

    def __init__(
        self,
        observer: str,
        clock: ClockPort,
        give_weights: GiveWeights,
        reports: Outlet[EvidenceReported],
    ) -> None:
        self._observer = observer
        self._clock = clock
        self._give_weights = give_weights
        self._reports = reports
        self._tasks: dict[str, HealthTask] = {}
        self._in_flight: Counter[str] = Counter()  # attempts by pool
        self._weighed: set[str] = set()  # pools with servers not wholly healthy
        self._rounds = TickRounds()
        self._ticker: Any = None

    @property
    def tasks(self) -> tuple[HealthTask, ...]:
        """Return the running tasks."""
        return tuple(self._tasks.values())

    def configure(self, pools: tuple[Pool, ...]) -> None:
        """Start, change and stop tasks so that they follow the table of pools."""
        if self._ticker is None:
            self._ticker = eventlet.spawn(self._tick)
        names = {pool.name for pool in pools}
        for name in [name for name in self._tasks if name not in names]:
            self._tasks.pop(name).stop()
            self._weighed.discard(name)
            del self._in_flight[name]
        for pool in pools:
            if pool.name not in self._tasks:
                self._tasks[pool.name] = self._start(pool)
            self._put(pool.name, ConfigurePool(pool))

    def servers_changed(self, pool: str, message: ServersChanged) -> None:
        """Give a pool's task its list of servers."""
        self._put(pool, message)

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report an attempt that begins."""
        self._in_flight[pool] += 1
        self._put(pool, message)

    def ended(self, message: AttemptEnded) -> None:
        """Report an attempt that ended."""
        self._in_flight[message.pool] -= 1
        self._put(message.pool, message)

    def granted(self, message: EjectionsGranted) -> None:
        """Give a pool's task its leased ejections."""
        self._put(message.pool, message)

    def ejections(self) -> list[Mapping[str, object]]:
        """Return a row for each server that is ejected or avoided here."""
        rows: list[Mapping[str, object]] = []
        for name, task in sorted(self._tasks.items()):
            rows.extend(_describe(name, task.dump()))
        return rows

    def _put(self, pool: str, message: HealthInput) -> None:
        if pool in self._tasks:
            self._tasks[pool].put(message)

    def _start(self, pool: Pool) -> HealthTask:
        def take(message: HealthOutput) -> None:
            if isinstance(message, EvidenceReported):
                self._reports.put(message)
                return
            self._weigh(pool.name, message)

        task: HealthTask = FilterTask(
            f"health.{pool.name}",
            PoolHealth(pool, self._observer),
            CallOutlet(take),
            self._clock,
        )
        task.start()
        return task

    def _weigh(self, pool: str, message: HealthChanged) -> None:
        if message.weights:
            self._weighed.add(pool)
        else:
            self._weighed.discard(pool)
        self._give_weights(pool, message)

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            in_flight = {pool for pool, count in self._in_flight.items() if count > 0}
            urgent = self._weighed | in_flight
            for pool in self._rounds.next_round(tuple(self._tasks), urgent):
                self._put(pool, HealthTick())


def _describe(pool: str, state: Mapping[str, object]) -> list[Mapping[str, object]]:
    rows: list[Mapping[str, object]] = []
    for kind in ("ejected", "avoided", "returning"):
        servers = state.get(kind, ())
        assert isinstance(servers, list)
        rows.extend({"server": s, "pool": pool, "state": kind} for s in servers)
    return rows
