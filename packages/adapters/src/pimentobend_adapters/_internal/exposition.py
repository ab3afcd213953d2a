"""Count events and expose the counters to Prometheus over HTTP."""

import bisect
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

PREFIX = "pimentobend"
# Upper bounds of the histograms' buckets, in seconds.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MAX_SERIES = 256  # label values of a counter; further ones are counted as "other"


class Histogram:
    """Histogram of durations."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative count for each upper bound."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets


class CounterTable:
    """Counters, gauges and histograms of a process."""

    def __init__(self) -> None:
        self._counters: dict[str, Counter[str]] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter; ``label`` is the value of its label, if it has any."""
        counter = self._counters.setdefault(name, Counter())
        if label not in counter and len(counter) >= MAX_SERIES:
            label = "other"
        counter[label] += amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Record one duration in seconds."""
        self._histograms.setdefault(name, Histogram()).observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yield the metrics as metric families of prometheus_client.

        The library is imported at the first collection, as the metrics of many
        processes are never collected.
        """
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(f"{PREFIX}_{name}", name, value=value)
        for name, counter in sorted(self._counters.items()):
            family = CounterMetricFamily(f"{PREFIX}_{name}", name, labels=["kind"])
            for label, value in sorted(counter.items()):
                family.add_metric([label], value)
            yield family
        for name, histogram in sorted(self._histograms.items()):
            yield HistogramMetricFamily(
                f"{PREFIX}_{name}_seconds",
                name,
                buckets=histogram.buckets(),
                sum_value=histogram.total_s,
            )


def create_metrics_application(table: CounterTable) -> Callable[..., Any]:
    """Return a WSGI application that serves the metrics in Prometheus text format."""

    def answer(environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(table)  # type: ignore[arg-type]
        content = generate_latest(registry)
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(content))),
        ]
        start_response("200 OK", headers)
        return [content]

    return answer
