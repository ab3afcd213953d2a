"""Run a traffic task per pool and pass its replies to waiting requests."""

import abc
import math
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput
from pimentobend_core._internal.traffic.messages import TrafficTick

TICK_S = 0.05
# A request waits this long after its deadline for the task's own refusal.
GRACE_S = 1.0

TrafficOwner = StatefulFilter[TrafficInput, TrafficOutput]
TrafficTask = FilterTask[TrafficInput, TrafficOutput]


class AttemptObserver(abc.ABC):
    """Observer that is told of each attempt, whichever its pool."""

    @abc.abstractmethod
    def started(self, pool: str, message: AttemptStarted) -> None:
        """Record an attempt that starts."""

    @abc.abstractmethod
    def ended(self, message: AttemptEnded) -> None:
        """Record an attempt that ended."""


class _Waiter(NamedTuple):
    pool: str
    deadline: float  # of the request, as a clock time in s
    event: Any  # eventlet event that the reply is sent to


class TrafficTasks(TrafficPort):
    """Run one traffic task per pool and match replies to waiting requests."""

    def __init__(
        self,
        create_owner: Callable[[Pool], TrafficOwner],
        clock: ClockPort,
        observer: AttemptObserver,
    ) -> None:
        self._create_owner = create_owner
        self._clock = clock
        self._observer = observer
        self._tasks: dict[str, TrafficTask] = {}
        self._waiting: dict[int, _Waiter] = {}
        self._is_ticking = False
        self._ends_at = math.inf  # what may be held longer gets no slot

    @property
    def tasks(self) -> tuple[TrafficTask, ...]:
        """Return the running tasks."""
        return tuple(self._tasks.values())

    def refuse_later_than(self, ends_at: float) -> None:
        """Refuse the requests without a slot whose deadline is after ``ends_at``.

        That holds for further ones, too. The time is of the clock, in seconds.
        """
        self._ends_at = ends_at
        for ticket, waiter in list(self._waiting.items()):
            if waiter.deadline > ends_at:
                self.put(waiter.pool, Abandon(ticket))
                self._resolve(Rejected(ticket, _ENDING))

    def end_requests(self) -> None:
        """Refuse the requests that wait for a slot, and all further ones."""
        self.refuse_later_than(-math.inf)

    def configure(self, pools: tuple[Pool, ...]) -> None:
        """Start, update and stop tasks to match the table of pools."""
        names = {pool.name for pool in pools}
        for name in [name for name in self._tasks if name not in names]:
            self._tasks.pop(name).stop()
        for pool in pools:
            if pool.name not in self._tasks:
                self._tasks[pool.name] = self._start(pool)
            self._tasks[pool.name].put(ConfigurePool(pool))

    def put(self, pool: str, message: TrafficInput) -> None:
        """Send a message to a pool's task; drop it if there is no such pool."""
        if pool in self._tasks:
            self._tasks[pool].put(message)

    def servers_changed(self, pool: str, message: ServersChanged) -> None:
        """Send a pool's task its new list of servers."""
        self.put(pool, message)

    def acquire(self, pool: str, message: Acquire) -> Result[Granted, Refusal]:
        """Wait for a slot on a backend server until the deadline."""
        if message.deadline > self._ends_at:
            return Failure(_ENDING)
        if pool not in self._tasks:
            return Failure(_pool_missing(pool))
        event = eventlet.event.Event()
        self._waiting[message.ticket] = _Waiter(pool, message.deadline, event)
        self._ensure_ticking()
        self._tasks[pool].put(message)
        try:
            return self._wait(pool, message, event)
        finally:
            self._waiting.pop(message.ticket, None)

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report an attempt that starts to the observer."""
        self._observer.started(pool, message)

    def ended(self, message: AttemptEnded) -> None:
        """Report an ended attempt to the pool's traffic task and to the observer."""
        self.put(message.pool, message)
        self._observer.ended(message)

    def release(self, pool: str, ticket: int) -> None:
        """Give back the slot of an attempt that is not made."""
        self.put(pool, Abandon(ticket))

    def _wait(
        self, pool: str, message: Acquire, event: Any
    ) -> Result[Granted, Refusal]:
        timeout_s = max(0.0, message.deadline - self._clock.now()) + GRACE_S
        reply: TrafficOutput | None = None
        try:
            with eventlet.Timeout(timeout_s, False):
                reply = event.wait()
        finally:
            if reply is None:
                self._tasks[pool].put(Abandon(message.ticket))
        if isinstance(reply, Granted):
            return Success(reply)
        if reply is None:
            return Failure(_pool_missing(pool))
        return Failure(reply.refusal)

    def _start(self, pool: Pool) -> TrafficTask:
        task: TrafficTask = FilterTask(
            f"traffic.{pool.name}",
            self._create_owner(pool),
            CallOutlet(self._resolve),
            self._clock,
        )
        task.start()
        return task

    def _resolve(self, reply: TrafficOutput) -> None:
        waiter = self._waiting.pop(reply.ticket, None)
        if waiter is not None:
            waiter.event.send(reply)

    def _ensure_ticking(self) -> None:
        if not self._is_ticking:
            self._is_ticking = True
            eventlet.spawn_n(self._tick)

    def _tick(self) -> None:
        """Tick the pools with queued requests, so that expired ones are refused."""
        while self._waiting:
            eventlet.sleep(TICK_S)
            for pool in {waiter.pool for waiter in self._waiting.values()}:
                self.put(pool, TrafficTick())
        self._is_ticking = False


_ENDING = Refusal(
    status=503,
    ran=Ran.NOT_RUN,
    reason=RefusalReason.DRAINING,
    detail="the process is stopping",
    retry_after_s=1,
)


def _pool_missing(pool: str) -> Refusal:
    return Refusal(
        status=503,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.NO_SERVER,
        detail=f"pool {pool!r} is not configured",
        retry_after_s=1,
    )
