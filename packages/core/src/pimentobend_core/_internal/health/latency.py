"""Typical latencies of each route on each backend server."""

import math
import statistics
from collections.abc import Mapping

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server

_MIN_LATENCY_S = 0.0005
# Bounds of the estimate's change per sample, in the logarithm of seconds.
_INITIAL_STEP = 0.5  # is divided by the number of samples so far
_MIN_STEP = 0.08
# Largest number of requests per slot that raises the expected latency. It bounds the
# latency that a wrong load report can excuse.
_MAX_QUEUE_RATIO = 3.0


class MedianTracker:
    """Estimate a running median of log latency in constant memory."""

    def __init__(self) -> None:
        self._value = 0.0
        self._count = 0

    @property
    def value(self) -> float:
        """Return the median, as the natural logarithm of seconds."""
        return self._value

    def add(self, sample: float) -> None:
        """Move the estimate towards ``sample`` by a bounded step."""
        self._count += 1
        if self._count == 1:
            self._value = sample
            return
        step = max(_INITIAL_STEP / self._count, _MIN_STEP)
        self._value += max(-step, min(step, sample - self._value))


class RouteLatency:
    """Compare the latencies of one route between servers.

    The extra network latency to farther regions is subtracted. It is estimated
    from the smallest latency seen recently in each region.
    """

    MINIMUM_WINDOW_S = 30.0  # a smallest latency is kept for one to two windows

    def __init__(self) -> None:
        self._medians: dict[str, MedianTracker] = {}
        # By region: the smallest latencies in the previous and the current window,
        # and the start of the current window.
        self._minima: dict[str, tuple[float, float, float]] = {}

    def add(self, server: Server, latency_s: float, now: float) -> None:
        """Record the latency of one answer in seconds."""
        self._update_minimum(server.region, latency_s, now)
        tracker = self._medians.setdefault(server.server_id, MedianTracker())
        tracker.add(self._log_latency(server.region, latency_s))

    def excess(self, server: Server, ended: AttemptEnded) -> float | None:
        """Return the logarithm of a latency's ratio to the peers' median, or None.

        None means that no other server (peer) has answered on this route.

        If the server's load report shows a queue, the expected latency is
        raised accordingly.
        """
        peer_median = self.peer_median(server.server_id)
        if peer_median is None:
            return None
        expected = peer_median + _queue_allowance(ended.load)
        return self._log_latency(server.region, ended.latency_s) - expected

    def peer_median(self, server_id: str) -> float | None:
        """Return the median of the peers' medians as the logarithm of seconds.

        None if no peer has answered on this route.
        """
        peers = [
            tracker.value
            for peer_id, tracker in self._medians.items()
            if peer_id != server_id
        ]
        return statistics.median(peers) if peers else None

    def extra_path_s(self, region: str) -> float:
        """Return the extra seconds to a region compared with the nearest one."""
        if region not in self._minima:
            return 0.0
        nearest = min(min(entry[:2]) for entry in self._minima.values())
        return min(self._minima[region][:2]) - nearest

    def retain(self, servers: Mapping[str, Server]) -> None:
        """Drop the medians of servers that are not in ``servers``."""
        for server_id in [each for each in self._medians if each not in servers]:
            del self._medians[server_id]

    def remove(self, server_id: str) -> None:
        """Drop the median of a server that restarted."""
        self._medians.pop(server_id, None)

    def _log_latency(self, region: str, latency_s: float) -> float:
        return math.log(max(latency_s - self.extra_path_s(region), _MIN_LATENCY_S))

    def _update_minimum(self, region: str, latency_s: float, now: float) -> None:
        older, newer, started_at = self._minima.get(region, (latency_s, latency_s, now))
        if now - started_at > self.MINIMUM_WINDOW_S:
            older, newer, started_at = newer, latency_s, now
        self._minima[region] = (older, min(newer, latency_s), started_at)


def _queue_allowance(load: LoadReport | None) -> float:
    if load is None or load.slots <= 0:
        return 0.0
    ratio = load.in_use / load.slots
    return math.log(max(1.0, min(_MAX_QUEUE_RATIO, ratio)))
