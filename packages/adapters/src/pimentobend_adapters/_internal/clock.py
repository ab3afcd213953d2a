"""Clocks of the eventlet runtime and of the machine."""

import time

import eventlet.hubs

from pimentobend_core._internal.ports import ClockPort


class HubClock(ClockPort):
    """Read the clock of eventlet's hub, which tests pause and advance."""

    def now(self) -> float:
        """Return the time of the hub's clock in seconds."""
        seconds: float = eventlet.hubs.get_hub().clock()
        return seconds


class BootClock(ClockPort):
    """Read the clock that goes on while the machine is suspended.

    Steps of the time of day do not affect it. A system without such a clock gets the
    steady one, so that the daemon runs there; a suspension is then not counted.
    """

    def __init__(self) -> None:
        self._clock_id: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now(self) -> float:
        """Return the time since the machine's start in seconds."""
        return time.clock_gettime(self._clock_id)
