"""Simulated backend servers with slots and a short queue."""

import heapq
import random

from pimentobend_bench._internal.health.faults import Fault
from pimentobend_bench._internal.health.faults import Work
from pimentobend_bench._internal.health.shapes import Shape
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

_SHED_S = 0.001  # time to refuse a request
_MAX_WAITING_PER_SLOT = 2  # requests; a full queue sheds load


class SimulatedServer:
    """A backend server with slots, an announced state and perhaps a fault."""

    def __init__(self, number: int, shape: Shape) -> None:
        self._shape = shape
        self._free_at = [0.0] * shape.slots  # a heap
        self._waiting: list[float] = []  # start times of queued requests
        self._slow_until = 0.0
        self._cold_ratio = 1.0
        self.fault: Fault | None = None
        self.server = Server(
            server_id=str(number),
            service=shape.service,
            host="127.0.0.1",
            port=number,
            slots=shape.slots,
            data_centre="ab"[number % 2],
            region="near" if number % 2 else "far",
            state=ServerState.READY,
            incarnation=1,
        )

    def change_state(self, state: ServerState) -> None:
        """Change the state that the server announces."""
        self.server = self.server._replace(state=state)

    def restart(self, now: float, cold_s: float, ratio: float) -> None:
        """Restart; for ``cold_s`` seconds, requests take ``ratio`` times as long."""
        incarnation = self.server.incarnation + 1
        self.server = self.server._replace(
            incarnation=incarnation, state=ServerState.READY
        )
        self._free_at = [now] * self._shape.slots
        self._slow_until = now + cold_s
        self._cold_ratio = ratio

    def load(self, now: float) -> LoadReport:
        """Return the number of requests that are running or waiting."""
        busy = sum(free_at > now for free_at in self._free_at)
        waiting = sum(start > now for start in self._waiting)
        return LoadReport(busy + waiting, self._shape.slots)

    def serve(self, rng: random.Random, now: float) -> Work:
        """Handle a request; ``service_s`` of the result includes queueing time."""
        self._waiting = [start for start in self._waiting if start > now]
        if len(self._waiting) >= _MAX_WAITING_PER_SLOT * self._shape.slots:
            return Work(AttemptKind.REFUSED, 503, _SHED_S)
        work = self._draw_work(rng, now)
        if work.kind is AttemptKind.REFUSED:
            return work
        start = max(now, self._free_at[0])
        if start > now:
            self._waiting.append(start)
        busy_s = min(work.service_s, self._shape.timeout_s)
        heapq.heapreplace(self._free_at, start + busy_s)
        return work._replace(service_s=start - now + work.service_s)

    def _draw_work(self, rng: random.Random, now: float) -> Work:
        shape = self._shape
        service_s = shape.service_s * rng.lognormvariate(0.0, shape.sigma)
        if rng.random() < shape.straggler_share:
            service_s *= shape.straggler_ratio
        if now < self._slow_until:
            service_s *= self._cold_ratio
        work = Work(AttemptKind.ANSWERED, 200, service_s)
        return self.fault.apply(work, rng, now) if self.fault else work
