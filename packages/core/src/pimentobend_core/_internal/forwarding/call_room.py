"""Measure the room that a backend server has for the calls of other servers.

A call is a request that a backend server makes while it runs another one; all other
requests are direct ones. The room is measured at the called server.
"""

import math

SMOOTHING_S = 0.35
# Share of the slots that may be in use on average. Demand varies from second to second,
# and from 0.95 on queues grow to several times the time of a request.
FULL_USE = 0.93
# Calls and direct requests may each use this share if both want more.
EQUAL_PART = 0.5
# With less of its slots in use, a server has room, whatever the demand is estimated to
# be: the estimate counts stragglers, and calls that fail without taking a slot.
CROWDED_USE = 0.85
DRAIN_S = 2.0  # time within which waiting calls are to be worked off
MIN_ROOM = 0.3  # share of the room that is left while they are


class CallRoom:
    """Slots that a server has for calls, and those that calls want.

    A call counts with the requests that were refused in its favour, so that the
    demand is known whatever share was admitted when its run started. It counts when it
    arrives: what waits says how long demand has been too high, not how high it is.
    """

    def __init__(self) -> None:
        self._arrived_s = 0.0  # work of calls since the last sample
        self._calls = 0.0  # moving averages, in slots
        self._direct = 0.0
        self._waiting_s = 0.0  # work of the calls that wait
        self._used = 0.0  # share of the slots, as a moving average
        self._sampled_at: float | None = None

    @property
    def demand(self) -> float:
        """Return the slots that calls want; 0 while enough slots are free."""
        return self._calls if self._used >= CROWDED_USE else 0.0

    def room(self, slots: int) -> float:
        """Return how many slots are there for calls; 0 before the first sample."""
        if self._sampled_at is None:
            return 0.0
        room = max(EQUAL_PART * slots, FULL_USE * slots - self._direct)
        return max(MIN_ROOM * room, room - self._waiting_s / DRAIN_S)

    def add_call(self, work_s: float) -> None:
        """Record a call that arrived, with those that were refused in its favour."""
        self._arrived_s += work_s

    def sample(
        self, direct: int, waiting_s: float, now: float, *, used: float = 1.0
    ) -> None:
        """Record the direct requests that wait and run, and the work of waiting calls.

        Times are in seconds; ``used`` is the share of the slots that are in use.
        """
        elapsed_s = 0.0 if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        self._waiting_s = waiting_s
        if elapsed_s:
            gain = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
            self._calls += gain * (self._arrived_s / elapsed_s - self._calls)
            self._direct += gain * (direct - self._direct)
            self._used += gain * (used - self._used)
            self._arrived_s = 0.0
