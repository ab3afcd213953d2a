"""Number of backend servers that the floor requires."""

import math

_ROUNDING = 1e-9  # keeps ceil(0.7 * 10) at 7 in floating point


class PeakServerCount:
    """Track the largest number of servers that a service had recently.

    The floor is a share of this peak, so that servers which leave one by one
    do not lower the number that must stay in use.
    """

    WINDOW_S = 600.0

    def __init__(self) -> None:
        self._peaks: list[tuple[int, float]] = []  # count and time, largest first

    def observe(self, count: int, now: float) -> None:
        """Record the number of servers at ``now`` (seconds)."""
        larger = [(size, seen_at) for size, seen_at in self._peaks if size > count]
        self._peaks = [*larger, (count, now)]

    def peak(self, now: float) -> int:
        """Return the largest number of servers within ``WINDOW_S``."""
        while len(self._peaks) > 1 and self._has_expired(now):
            self._peaks.pop(0)
        return self._peaks[0][0] if self._peaks else 0

    def _has_expired(self, now: float) -> bool:
        # The oldest peak was in force until the next smaller one was observed.
        return now - self._peaks[1][1] > self.WINDOW_S


def required_servers(floor: float, size: int) -> int:
    """Return how many of ``size`` servers must stay in use."""
    return math.ceil(floor * size - _ROUNDING)
