"""Run a health task per pool that turns attempts into weights and evidence."""

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
ApplyWeights = Callable[[str, HealthChanged], None]


class HealthTasks:
    """Runs the health tasks and passes on their weights and evidence reports.

    A server's weight is the share of its normal traffic that it gets. An evidence
    report tells the control instances how attempts at a pool's servers ended.
    """

    def __init__(
        self,
        observer: str,
        clock: ClockPort,
        apply_weights: ApplyWeights,
        reports: Outlet[EvidenceReported],
    ) -> None:
        self._observer = observer
        self._clock = clock
        self._apply_weights = apply_weights
        self._reports = reports
        self._tasks: dict[str, HealthTask] = {}
        self._in_flight: Counter[str] = Counter()  # number of running attempts by pool
        self._weighted: set[str] = set()  # pools with a server below full weight
        self._rounds = TickRounds()
        self._ticker: Any = None

    @property
    def tasks(self) -> tuple[HealthTask, ...]:
        """Return the running tasks."""
        return tuple(self._tasks.values())

    def configure(self, pools: tuple[Pool, ...]) -> None:
        """Start, update and stop tasks to match the table of pools."""
        if self._ticker is None:
            self._ticker = eventlet.spawn(self._tick)
        names = {pool.name for pool in pools}
        for name in [name for name in self._tasks if name not in names]:
            self._tasks.pop(name).stop()
            self._weighted.discard(name)
            del self._in_flight[name]
        for pool in pools:
            if pool.name not in self._tasks:
                self._tasks[pool.name] = self._start(pool)
            self._put(pool.name, ConfigurePool(pool))

    def servers_changed(self, pool: str, message: ServersChanged) -> None:
        """Send a pool's task its new list of servers."""
        self._put(pool, message)

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report an attempt that starts."""
        self._in_flight[pool] += 1
        self._put(pool, message)

    def ended(self, message: AttemptEnded) -> None:
        """Report an attempt that ended."""
        self._in_flight[message.pool] -= 1
        self._put(message.pool, message)

    def granted(self, message: EjectionsGranted) -> None:
        """Send a pool's task the ejections for which it now has a lease."""
        self._put(message.pool, message)

    def ejections(self) -> list[Mapping[str, object]]:
        """Return id, pool and state of each ejected, avoided or returning server."""
        rows: list[Mapping[str, object]] = []
        for name, task in sorted(self._tasks.items()):
            rows.extend(_describe(name, task.dump()))
        return rows

    def _put(self, pool: str, message: HealthInput) -> None:
        if pool in self._tasks:
            self._tasks[pool].put(message)

    def _start(self, pool: Pool) -> HealthTask:
        def handle_output(message: HealthOutput) -> None:
            if isinstance(message, EvidenceReported):
                self._reports.put(message)
                return
            self._handle_weights(pool.name, message)

        task: HealthTask = FilterTask(
            f"health.{pool.name}",
            PoolHealth(pool, self._observer),
            CallOutlet(handle_output),
            self._clock,
        )
        task.start()
        return task

    def _handle_weights(self, pool: str, message: HealthChanged) -> None:
        if message.weights:
            self._weighted.add(pool)
        else:
            self._weighted.discard(pool)
        self._apply_weights(pool, message)

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            in_flight = {pool for pool, count in self._in_flight.items() if count > 0}
            urgent = self._weighted | in_flight
            for pool in self._rounds.next_round(tuple(self._tasks), urgent):
                self._put(pool, HealthTick())


def _describe(pool: str, state: Mapping[str, object]) -> list[Mapping[str, object]]:
    rows: list[Mapping[str, object]] = []
    for kind in ("ejected", "avoided", "returning"):
        servers = state.get(kind, ())
        assert isinstance(servers, list)
        rows.extend({"server": s, "pool": pool, "state": kind} for s in servers)
    return rows
