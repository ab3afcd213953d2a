"""Estimate the free slots of backend servers that several daemons share."""

import math
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

COLD_RAMP_S = 10.0
COLD_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 0.5  # health weighs servers; this only turns retries away
BACKOFF_LIMIT = 3.0  # doublings
BACKOFF_HALF_LIFE_S = 2.0
FAILURE_TRACE = 0.1  # failures, below which a server counts as sound
OTHERS_LIMIT = 2  # times the slots
FAILED_KINDS = (
    AttemptKind.NOT_CONNECTED,
    AttemptKind.NO_ANSWER,
    AttemptKind.TRUNCATED,
)


class SlotsView(NamedTuple):
    """Describe a server at one moment."""

    free: float  # slots
    load: float  # share of the slots in use, failures added
    weight: float  # share of its normal traffic
    is_probe: bool  # the last report showed no free slot


class ServerSlots:
    """Follow one server: own requests, the others' and its weight.

    The others' requests are known from reports on answers. They are taken to
    end at the pool's pace, so that a stale or false report costs a refused
    attempt or a short wait, and never a server.
    """

    def __init__(self, server: Server, cold_since: float | None) -> None:
        self._server = server
        self._cold_since = cold_since
        self._is_listed = True
        self._health_weight = 1.0
        self._in_flight = 0
        self._others = 0.0
        self._others_at = float("-inf")
        self._backoff = 0.0
        self._backoff_at = 0.0
        self._failures = 0.0
        self._failed_at = 0.0

    @property
    def server(self) -> Server:
        """Return the server as it last announced itself."""
        return self._server

    @property
    def others_share(self) -> float:
        """Return the share of slots that the others had at the last report."""
        return min(1.0, self._others / max(1, self._server.slots))

    @property
    def in_flight(self) -> int:
        """Return the requests that this daemon has on the server."""
        return self._in_flight

    @property
    def is_listed(self) -> bool:
        """Say whether the server is in the pool's current list."""
        return self._is_listed

    @property
    def is_usable(self) -> bool:
        """Say whether the server may take new work at all."""
        return (
            self._is_listed
            and self._health_weight > 0.0
            and self._server.state is ServerState.READY
        )

    def announce(self, server: Server, now: float) -> None:
        """Take the server's newest announcement."""
        was_down = not self._is_listed or self._server.state is ServerState.STARTING
        is_reborn = server.incarnation > self._server.incarnation
        if is_reborn or (was_down and server.state is ServerState.READY):
            self._cold_since = now
            self._others = 0.0
            self._backoff = 0.0
            self._failures = 0.0
        self._server = server
        self._is_listed = True

    def withdraw(self) -> None:
        """Note that the server left the pool's list."""
        self._is_listed = False

    def set_health(self, weight: float) -> None:
        """Set the share of normal traffic, 0 to 1."""
        self._health_weight = weight

    def weight(self, now: float) -> float:
        """Return the share of normal traffic, cold start included."""
        if self._cold_since is None:
            return self._health_weight
        done = (now - self._cold_since) / COLD_RAMP_S
        if done >= 1.0:
            self._cold_since = None
            return self._health_weight
        ramp = COLD_WEIGHT + (1 - COLD_WEIGHT) * max(0.0, done)
        return self._health_weight * ramp

    def others(self, now: float, hold_s: float) -> float:
        """Estimate the requests that other daemons have on the server."""
        return self._others * self._freshness(now, hold_s)

    def view(self, now: float, hold_s: float, usual_share: float) -> SlotsView:
        """Estimate what the server can take, failures added to its load.

        As a report ages, the load tends to ``usual_share``, the share of
        slots that other daemons use in the pool, and the free slots to what
        a probe may try.
        """
        weight = self.weight(now)
        slots = max(1, self._server.slots)
        freshness = self._freshness(now, hold_s)
        others = self._others * freshness
        usual = usual_share * slots * (1.0 - freshness)
        load = (self._in_flight + others + usual) / slots
        return SlotsView(
            free=math.ceil(self._server.slots * weight) - self._in_flight - others,
            load=load + self._failures_now(now),
            weight=weight,
            is_probe=self._in_flight + 1 + self._others > self._server.slots,
        )

    def is_failing(self, now: float) -> bool:
        """Say whether attempts on the server failed lately."""
        return self._failures_now(now) > FAILURE_TRACE

    def take(self) -> bool:
        """Count one granted request, and say whether it is a probe.

        A probe goes beyond what the last evidence showed to be free.
        """
        self._in_flight += 1
        return self._in_flight + self._others > self._server.slots

    def release(self) -> None:
        """Count one ended request."""
        self._in_flight -= 1

    def note_end(self, end: AttemptEnded, was_probe: bool, now: float) -> None:
        """Learn from an ended attempt, before its release."""
        if end.kind is AttemptKind.REFUSED:
            self._change_backoff(0.5, now)
            self._set_others(self._server.slots - self._in_flight + 1, now)
            return
        if end.kind in FAILED_KINDS or end.status >= 500:
            self._failures = min(8.0, self._failures_now(now) + 1.0)
            self._failed_at = now
        if end.kind is AttemptKind.ANSWERED and was_probe:
            self._change_backoff(-1.0, now)
        if end.load is not None:
            # The report counts the request that it came with.
            self._set_others(end.load.in_use - self._in_flight, now)

    def _freshness(self, now: float, hold_s: float) -> float:
        """Return the share of the reported requests that still run."""
        pace_s = hold_s * 2 ** self._backoff_now(now)
        return math.exp(-max(0.0, now - self._others_at) / pace_s)

    def _set_others(self, others: int, now: float) -> None:
        self._others = float(min(max(0, others), OTHERS_LIMIT * self._server.slots))
        self._others_at = now

    def _change_backoff(self, doublings: float, now: float) -> None:
        changed = self._backoff_now(now) + doublings
        self._backoff = min(max(0.0, changed), BACKOFF_LIMIT)
        self._backoff_at = now

    def _backoff_now(self, now: float) -> float:
        return _decayed(self._backoff, now - self._backoff_at, BACKOFF_HALF_LIFE_S)

    def _failures_now(self, now: float) -> float:
        age_s = now - self._failed_at
        failures = _decayed(self._failures, age_s, FAILURE_HALF_LIFE_S)
        # A trace would lose every draw against an idle server, for good.
        return failures if failures >= FAILURE_TRACE else 0.0


def _decayed(value: float, age_s: float, half_life_s: float) -> float:
    if not value:
        return 0.0
    return float(value * 0.5 ** (max(0.0, age_s) / half_life_s))
