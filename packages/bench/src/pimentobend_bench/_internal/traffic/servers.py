"""Fake backend servers with true slots."""

import collections
import enum
from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.models.request import LoadReport

BACKLOG = 64  # requests


class OverflowMode(enum.Enum):
    """Name what a server does with work beyond its slots."""

    SHED = "shed"
    BACKLOG = "backlog"


class Work(NamedTuple):
    """Carry one request on a server; ``service_s`` is its true size."""

    service_s: float
    deadline: float
    done: Callable[[], None]


class FakeServer:
    """Run work on a fixed number of slots, and shed or queue the rest."""

    def __init__(
        self, slots: int, mode: OverflowMode, later: Callable[..., None]
    ) -> None:
        self._slots = slots
        self._mode = mode
        self._later = later
        self._running = 0
        self._backlog: collections.deque[Work] = collections.deque()
        self._busy_s = 0.0
        self._peak = 0

    @property
    def busy_s(self) -> float:
        """Return the seconds that slots have worked or will work."""
        return self._busy_s

    @property
    def peak(self) -> int:
        """Return the most slots in use at one time."""
        return self._peak

    def report(self) -> LoadReport:
        """Return the load that the server states on an answer."""
        return LoadReport(self._running + len(self._backlog), self._slots)

    def offer(self, work: Work) -> bool:
        """Take work, or return False when the server sheds it."""
        if self._running < self._slots:
            self._start(work)
            return True
        if self._mode is OverflowMode.BACKLOG and len(self._backlog) < BACKLOG:
            self._backlog.append(work)
            return True
        return False

    def _start(self, work: Work) -> None:
        self._running += 1
        self._peak = max(self._peak, self._running)
        self._busy_s += work.service_s
        self._later(work.service_s, self._finish, work)

    def _finish(self, work: Work) -> None:
        work.done()  # the report on the answer counts this request
        self._running -= 1
        if self._backlog:
            self._start(self._backlog.popleft())
