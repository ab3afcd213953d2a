"""Estimate the free slots of backend servers that are shared by several daemons."""

import math
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

COLD_RAMP_S = 10.0  # a new server's share of traffic rises to the normal in this time
COLD_WEIGHT = 0.2  # share of its normal traffic at its start
# The failure count of a server only steers retries away from it; its share of traffic
# depends on its health.
# How long a server counts as unproven that has answered no request well since it was
# listed or restarted.
PROOF_WAIT_S = 5.0
FAILURE_HALF_LIFE_S = 0.5
# The reported requests of other daemons are assumed to end at a rate that is halved by
# each doubling of the decay time; refusals add doublings, up to this limit.
BACKOFF_LIMIT = 3.0
BACKOFF_HALF_LIFE_S = 2.0  # of the number of doublings
MIN_FAILURES = 0.1  # a lower decayed failure count is treated as 0
OTHER_REQUESTS_LIMIT = 2  # most requests of other daemons, per slot of the server
FAILED_KINDS = (
    AttemptKind.NOT_CONNECTED,
    AttemptKind.NO_ANSWER,
    AttemptKind.TRUNCATED,
)


class SlotsEstimate(NamedTuple):
    """The estimated capacity of a server at one moment."""

    free: float  # slots
    load: float  # share of the slots in use, plus the decayed failure count
    weight: float  # share of its normal traffic
    is_probe: bool  # the last report showed no free slot


class ServerSlots:
    """Track the slots of one server that are used by this and by other daemons.

    The requests of other daemons are known only from the load reports on
    answers. Their number is assumed to decay at the rate at which the pool's
    requests end, so a stale or wrong report can cause a refused attempt or a
    short wait, but can't take a server out of use permanently.
    """

    def __init__(
        self, server: Server, cold_since: float | None, listed_at: float
    ) -> None:
        self._server = server
        self._cold_since = cold_since
        self._unproven_since: float | None = listed_at  # None after a good answer
        self._is_listed = True
        self._health_weight = 1.0
        self._in_flight = 0
        self._other_requests = 0.0
        self._reported_at = float("-inf")
        self._backoff = 0.0  # doublings of the decay time, at ``_backoff_at``
        self._backoff_at = 0.0
        self._failures = 0.0  # decayed failure count, at ``_failed_at``
        self._failed_at = 0.0

    @property
    def server(self) -> Server:
        """Return the server as last announced."""
        return self._server

    @property
    def other_share(self) -> float:
        """Return the share of slots used by other daemons at the last report."""
        return min(1.0, self._other_requests / max(1, self._server.slots))

    @property
    def in_flight(self) -> int:
        """Return the number of this daemon's requests on the server."""
        return self._in_flight

    @property
    def is_listed(self) -> bool:
        """Return whether the server is in the pool's current list."""
        return self._is_listed

    @property
    def is_usable(self) -> bool:
        """Return whether the server may take new requests."""
        return (
            self._is_listed
            and self._health_weight > 0.0
            and self._server.state is ServerState.READY
        )

    def announce(self, server: Server, now: float) -> None:
        """Update the server; a restart or return to service begins a cold start."""
        was_down = not self._is_listed or self._server.state is ServerState.STARTING
        has_restarted = server.incarnation > self._server.incarnation
        if has_restarted or (was_down and server.state is ServerState.READY):
            self._cold_since = now
            self._unproven_since = now
            self._other_requests = 0.0
            self._backoff = 0.0
            self._failures = 0.0
        self._server = server
        self._is_listed = True

    def withdraw(self) -> None:
        """Mark the server as no longer in the pool's list."""
        self._is_listed = False

    def set_health(self, weight: float) -> None:
        """Set the share of normal traffic that its health allows, 0 to 1."""
        self._health_weight = weight

    def weight(self, now: float) -> float:
        """Return the share of normal traffic allowed by health and cold start."""
        if self._cold_since is None:
            return self._health_weight
        progress = (now - self._cold_since) / COLD_RAMP_S
        if progress >= 1.0:
            self._cold_since = None
            return self._health_weight
        ramp = COLD_WEIGHT + (1 - COLD_WEIGHT) * max(0.0, progress)
        return self._health_weight * ramp

    def other_requests(self, now: float, hold_s: float) -> float:
        """Estimate the number of other daemons' requests on the server."""
        return self._other_requests * self._freshness(now, hold_s)

    def estimate(
        self, now: float, hold_s: float, average_other_share: float
    ) -> SlotsEstimate:
        """Estimate the server's free slots and load.

        As a report ages, its count of other daemons' requests is discounted. The
        load estimate then tends to ``average_other_share``, the share of slots
        that other daemons use across the pool. The free slots grow, and a grant
        beyond the last report is a probe.
        """
        weight = self.weight(now)
        slots = max(1, self._server.slots)
        freshness = self._freshness(now, hold_s)
        other_requests = self._other_requests * freshness
        average = average_other_share * slots * (1.0 - freshness)
        load = (self._in_flight + other_requests + average) / slots
        return SlotsEstimate(
            free=math.ceil(self._server.slots * weight)
            - self._in_flight
            - other_requests,
            load=load + self._failures_now(now),
            weight=weight,
            is_probe=self._in_flight + 1 + self._other_requests > self._server.slots,
        )

    def is_failing(self, now: float) -> bool:
        """Return whether attempts on the server failed recently."""
        return self._failures_now(now) > MIN_FAILURES

    def is_proven(self, now: float) -> bool:
        """Return whether the server has answered well, or had time to be tested."""
        since = self._unproven_since
        return since is None or now - since >= PROOF_WAIT_S

    def acquire(self) -> bool:
        """Count one granted request and return whether it is a probe.

        A probe exceeds the slots that were free according to the last report.
        """
        self._in_flight += 1
        return self._in_flight + self._other_requests > self._server.slots

    def release(self) -> None:
        """Count one ended request."""
        self._in_flight -= 1

    def record_end(self, end: AttemptEnded, was_probe: bool, now: float) -> None:
        """Update the estimates from an ended attempt; call before ``release``."""
        if end.kind is AttemptKind.REFUSED:
            self._change_backoff(0.5, now)
            self._set_other_requests(self._server.slots - self._in_flight + 1, now)
            return
        if end.kind in FAILED_KINDS or end.status >= 500:
            self._failures = min(8.0, self._failures_now(now) + 1.0)
            self._failed_at = now
        elif end.kind is AttemptKind.ANSWERED:
            self._unproven_since = None
        if end.kind is AttemptKind.ANSWERED and was_probe:
            self._change_backoff(-1.0, now)
        if end.load is not None:
            # The report includes the request that it answers.
            self._set_other_requests(end.load.in_use - self._in_flight, now)

    def _freshness(self, now: float, hold_s: float) -> float:
        """Return the share of the reported requests that are assumed to still run."""
        time_constant_s = hold_s * 2 ** self._backoff_now(now)
        return math.exp(-max(0.0, now - self._reported_at) / time_constant_s)

    def _set_other_requests(self, other_requests: int, now: float) -> None:
        self._other_requests = float(
            min(max(0, other_requests), OTHER_REQUESTS_LIMIT * self._server.slots)
        )
        self._reported_at = now

    def _change_backoff(self, doublings: float, now: float) -> None:
        changed = self._backoff_now(now) + doublings
        self._backoff = min(max(0.0, changed), BACKOFF_LIMIT)
        self._backoff_at = now

    def _backoff_now(self, now: float) -> float:
        return _decayed(self._backoff, now - self._backoff_at, BACKOFF_HALF_LIFE_S)

    def _failures_now(self, now: float) -> float:
        age_s = now - self._failed_at
        failures = _decayed(self._failures, age_s, FAILURE_HALF_LIFE_S)
        # Without this cutoff, a tiny remainder would make the server lose every
        # load comparison with an idle one, indefinitely.
        return failures if failures >= MIN_FAILURES else 0.0


def _decayed(value: float, age_s: float, half_life_s: float) -> float:
    if not value:
        return 0.0
    return float(value * 0.5 ** (max(0.0, age_s) / half_life_s))
