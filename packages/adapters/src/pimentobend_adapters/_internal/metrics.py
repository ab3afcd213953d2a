"""Send metrics by the statsd protocol."""

from typing import Any

import statsd

from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.request import AttemptEnded

PREFIX = "pimentobend"
MS_PER_S = 1000


class Metrics:
    """Client for statsd; drops all metrics if no address is configured."""

    def __init__(self, address: Address | None, instance: str) -> None:
        self._client: Any = None
        if address is not None:
            prefix = f"{PREFIX}.{instance}"
            self._client = statsd.StatsClient(*address, prefix=prefix)

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)


class RequestMetrics(Outlet[RequestEnded]):
    """Count ended requests, and refusals by reason."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def put(self, message: RequestEnded) -> None:
        """Count one request and record its duration."""
        self._metrics.count("requests")
        self._metrics.time("request", message.duration_s)
        if message.reason is not None:
            self._metrics.count(f"refusals.{message.reason.value}")
            self._metrics.count(f"refusals.ran.{message.ran.value}")


class AttemptMetrics(Outlet[AttemptEnded]):
    """Count ended attempts by kind."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def put(self, message: AttemptEnded) -> None:
        """Count one attempt and record its latency."""
        self._metrics.count(f"attempts.{message.kind.value}")
        self._metrics.time(f"attempt.{message.pool}", message.latency_s)
