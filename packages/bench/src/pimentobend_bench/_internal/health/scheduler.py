"""Event queue with a simulated clock."""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class _Event(NamedTuple):
    at: float
    number: int  # keeps events of the same time in the order of scheduling
    action: Callable[[], None]


class Scheduler:
    """The simulated clock and the events that are scheduled."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at ``time_s`` (seconds)."""
        heapq.heappush(self._events, _Event(time_s, next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action ``delay_s`` seconds from now."""
        self.at(self._now + delay_s, action)

    def run_until(self, time_s: float) -> None:
        """Run all events up to ``time_s`` (seconds) and set the clock to it."""
        while self._events and self._events[0].at <= time_s:
            event = heapq.heappop(self._events)
            self._now = event.at
            event.action()
        self._now = time_s
