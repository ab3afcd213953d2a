"""Work out how many backend servers the floor lets go."""

import math

_ROUNDING = 1e-9  # 0.7 * 10 must not need an eighth server


class ServiceSize:
    """Remember a service's largest size of late.

    The floor is a share of it, so that servers which leave one after the
    other do not lower the floor under those that stay.
    """

    MEMORY_S = 600.0

    def __init__(self) -> None:
        self._peaks: list[tuple[int, float]] = []

    def observe(self, count: int, now: float) -> None:
        """Take the number of servers at ``now`` (seconds)."""
        kept = [(size, at) for size, at in self._peaks if size > count]
        self._peaks = [*kept, (count, now)]

    def largest(self, now: float) -> int:
        """Return the largest number of servers within the memory."""
        while len(self._peaks) > 1 and self._is_forgotten(now):
            self._peaks.pop(0)
        return self._peaks[0][0] if self._peaks else 0

    def _is_forgotten(self, now: float) -> bool:
        # A size was true until the next smaller one was seen.
        return now - self._peaks[1][1] > self.MEMORY_S


def required_servers(floor: float, size: int) -> int:
    """Return how many servers a floor keeps in use."""
    return math.ceil(floor * size - _ROUNDING)
