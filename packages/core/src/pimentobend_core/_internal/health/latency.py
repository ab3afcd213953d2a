"""Follow the usual latency of each route on each backend server."""

import math
import statistics
from collections.abc import Mapping

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server

_SMALLEST_S = 0.0005
_FIRST_STEP = 0.5  # in the logarithm of seconds
_LAST_STEP = 0.08
_LARGEST_QUEUE = 3.0  # requests a slot; a server that lies excuses no more


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
        """Move towards one sample."""
        self._count += 1
        if self._count == 1:
            self._value = sample
            return
        step = max(_FIRST_STEP / self._count, _LAST_STEP)
        self._value += max(-step, min(step, sample - self._value))


class RouteLatency:
    """Compare one route's latencies between servers."""

    MINIMUM_MEMORY_S = 30.0

    def __init__(self) -> None:
        self._medians: dict[str, MedianTracker] = {}
        self._minima: dict[str, tuple[float, float, float]] = {}

    def add(self, server: Server, latency_s: float, now: float) -> None:
        """Take one answer's latency in seconds."""
        self._add_minimum(server.region, latency_s, now)
        tracker = self._medians.setdefault(server.server_id, MedianTracker())
        tracker.add(self._log(server.region, latency_s))

    def excess(self, server: Server, ended: AttemptEnded) -> float | None:
        """Return the log ratio to the median of the peers, if there are any.

        A server that states a queue is allowed the time to work it off.
        """
        usual = self.usual(server.server_id)
        if usual is None:
            return None
        expected = usual + _queue_allowance(ended.load)
        return self._log(server.region, ended.latency_s) - expected

    def usual(self, server_id: str) -> float | None:
        """Return the median of the peers' medians as the logarithm of seconds."""
        peers = [
            tracker.value
            for peer_id, tracker in self._medians.items()
            if peer_id != server_id
        ]
        return statistics.median(peers) if peers else None

    def path_s(self, region: str) -> float:
        """Return the seconds that the path to a region adds to the nearest one's."""
        if region not in self._minima:
            return 0.0
        nearest = min(min(entry[:2]) for entry in self._minima.values())
        return min(self._minima[region][:2]) - nearest

    def keep(self, servers: Mapping[str, Server]) -> None:
        """Forget servers that are gone."""
        for server_id in [each for each in self._medians if each not in servers]:
            del self._medians[server_id]

    def forget(self, server_id: str) -> None:
        """Forget what an earlier start of a server showed."""
        self._medians.pop(server_id, None)

    def _log(self, region: str, latency_s: float) -> float:
        return math.log(max(latency_s - self.path_s(region), _SMALLEST_S))

    def _add_minimum(self, region: str, latency_s: float, now: float) -> None:
        older, newer, began = self._minima.get(region, (latency_s, latency_s, now))
        if now - began > self.MINIMUM_MEMORY_S:
            older, newer, began = newer, latency_s, now
        self._minima[region] = (older, min(newer, latency_s), began)


def _queue_allowance(load: LoadReport | None) -> float:
    if load is None or load.slots <= 0:
        return 0.0
    ratio = load.in_use / load.slots
    return math.log(max(1.0, min(_LARGEST_QUEUE, ratio)))
