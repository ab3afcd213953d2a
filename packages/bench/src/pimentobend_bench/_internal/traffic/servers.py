"""Simulated backend servers with a fixed number of slots."""

import collections
import enum
from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.models.request import LoadReport

MAX_BACKLOG = 64  # requests that wait on one server


class OverflowMode(enum.Enum):
    """What a server does with a request when all of its slots are in use."""

    SHED = "shed"
    BACKLOG = "backlog"


class Work(NamedTuple):
    """One request on a server; ``done`` is called when it ends."""

    service_s: float  # actual service time
    deadline: float
    done: Callable[[], None]


class FakeServer:
    """Serves requests on a fixed number of slots, and sheds or queues the rest."""

    def __init__(
        self, slots: int, mode: OverflowMode, call_later: Callable[..., None]
    ) -> None:
        self._slots = slots
        self._mode = mode
        self._call_later = call_later
        self._running = 0
        self._backlog: collections.deque[Work] = collections.deque()
        self._busy_s = 0.0
        self._peak = 0

    @property
    def busy_s(self) -> float:
        """Return the slot seconds of all requests started so far."""
        return self._busy_s

    @property
    def peak(self) -> int:
        """Return the highest number of slots in use at one time."""
        return self._peak

    def report(self) -> LoadReport:
        """Return the load that the server reports on a response."""
        return LoadReport(self._running + len(self._backlog), self._slots)

    def offer(self, work: Work) -> bool:
        """Accept a request, or return False if the server sheds it."""
        if self._running < self._slots:
            self._start(work)
            return True
        if self._mode is OverflowMode.BACKLOG and len(self._backlog) < MAX_BACKLOG:
            self._backlog.append(work)
            return True
        return False

    def _start(self, work: Work) -> None:
        self._running += 1
        self._peak = max(self._peak, self._running)
        self._busy_s += work.service_s
        self._call_later(work.service_s, self._finish, work)

    def _finish(self, work: Work) -> None:
        work.done()  # before the decrement: the reported load includes this request
        self._running -= 1
        if self._backlog:
            self._start(self._backlog.popleft())
