"""Measure hold times: how long the requests of each route occupy a slot."""

import enum

ROUTES_LIMIT = 2048
DEFAULT_HOLD_S = 0.05  # assumed until the first request ends
MIN_HOLD_S = 0.001
ESTIMATE_HALF_LIFE_S = 30.0  # of a route's estimate while none of its requests ends
ACTIVE_WINDOW_S = 60.0  # routes idle for longer are not classified
CLASSIFY_INTERVAL_S = 1.0
MIN_SAMPLES = 8  # ended requests that are needed before an estimate is used
# A route is long if its median exceeds this multiple of the pool's shortest median.
LONG_ROUTE_MULTIPLE = 4.0
# A request is a straggler once it has held its slot for this multiple of the
# HIGH_QUANTILE of its route.
STRAGGLER_MULTIPLE = 4.0
MEAN_GAIN = 0.02  # smallest weight of a new sample in the mean
QUANTILE_GAIN = 0.05  # smallest weight of a new sample in a quantile
HIGH_QUANTILE = 0.9


class SizeClass(enum.Enum):
    """Whether a route's requests hold a slot much longer than its pool's fastest."""

    SHORT = "short"
    LONG = "long"


class QuantileEstimator:
    """Estimate one quantile of a stream of samples in constant memory.

    Each sample moves the estimate up or down by a step that is proportional
    to the mean deviation of the samples.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._value = 0.0
        self._mean_deviation = 0.0
        self._samples = 0

    @property
    def value(self) -> float:
        """Return the estimate, in the unit of the samples."""
        return self._value

    def record(self, sample: float) -> None:
        """Update the estimate with one sample."""
        self._samples += 1
        if self._samples == 1:
            self._value = sample
            self._mean_deviation = sample / 2
            return
        gain = max(QUANTILE_GAIN, 1 / self._samples)
        # Cap the deviation, so that one straggler does not enlarge later steps.
        distance = min(abs(sample - self._value), 2 * self._value)
        self._mean_deviation += gain * (distance - self._mean_deviation)
        below = 1.0 if sample < self._value else 0.0
        self._value = max(
            0.0,
            self._value + 2 * gain * self._mean_deviation * (self._quantile - below),
        )


class HoldTimes:
    """Hold time statistics of one route or pool, in seconds."""

    def __init__(self) -> None:
        self._median = QuantileEstimator(0.5)
        self._high_quantile = QuantileEstimator(HIGH_QUANTILE)
        self._mean_s = 0.0
        self._samples = 0
        self._last_ended_at = 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Return whether enough requests ended for the estimates to be used."""
        return self._samples >= MIN_SAMPLES

    @property
    def mean_s(self) -> float:
        """Return the mean hold time, including stragglers."""
        return max(MIN_HOLD_S, self._mean_s) if self._samples else DEFAULT_HOLD_S

    @property
    def median_s(self) -> float:
        """Return the median hold time; 0 before the first sample."""
        return self._median.value

    @property
    def typical_s(self) -> float:
        """Return the median hold time, with a default and a lower bound.

        It sets the rate at which load reports decay.
        """
        if not self._samples:
            return DEFAULT_HOLD_S
        return max(MIN_HOLD_S, self._median.value)

    @property
    def last_ended_at(self) -> float:
        """Return the time at which the last request ended."""
        return self._last_ended_at

    def record(self, held_s: float, now: float) -> None:
        """Record the hold time of one answered request."""
        self._samples += 1
        gain = max(MEAN_GAIN, 1 / self._samples)
        self._mean_s += gain * (held_s - self._mean_s)
        self._median.record(held_s)
        self._high_quantile.record(held_s)
        self._last_ended_at = now

    def expected_s(self, now: float) -> float:
        """Return the expected hold time: the median, or 0 without enough samples.

        The estimate decays while no request ends, so that a route whose requests
        are refused as too slow is eventually tried again.
        """
        if not self.has_enough_samples:
            return 0.0
        idle_s = max(0.0, now - self._last_ended_at)
        return self._median.value * float(0.5 ** (idle_s / ESTIMATE_HALF_LIFE_S))

    def is_straggler(self, held_s: float) -> bool:
        """Return whether a request holds its slot far longer than usual."""
        return (
            self.has_enough_samples
            and held_s > STRAGGLER_MULTIPLE * self._high_quantile.value
        )


class RouteTimes:
    """Track hold times for each route of a pool, and classify routes by size.

    Only the ``ROUTES_LIMIT`` most recently used routes are kept.
    """

    def __init__(self) -> None:
        self._pool = HoldTimes()
        self._routes: dict[str, HoldTimes] = {}
        self._long: frozenset[str] = frozenset()
        self._last_classified_at = float("-inf")

    @property
    def pool(self) -> HoldTimes:
        """Return the hold times over all routes."""
        return self._pool

    @property
    def long_routes(self) -> frozenset[str]:
        """Return the routes that are classified as long."""
        return self._long

    def record(self, route: str, held_s: float, now: float) -> None:
        """Record the hold time of one answered request."""
        self._pool.record(held_s, now)
        times = self._routes.pop(route, None) or HoldTimes()
        times.record(held_s, now)
        self._routes[route] = times
        if len(self._routes) > ROUTES_LIMIT:
            del self._routes[next(iter(self._routes))]
        if now - self._last_classified_at >= CLASSIFY_INTERVAL_S:
            self._classify(now)

    def get(self, route: str) -> HoldTimes:
        """Return the route's hold times, or the pool's if it has too few samples."""
        times = self._routes.get(route)
        if times is None or not times.has_enough_samples:
            return self._pool
        return times

    def size(self, route: str) -> SizeClass:
        """Return the size class of a route."""
        return SizeClass.LONG if route in self._long else SizeClass.SHORT

    def _classify(self, now: float) -> None:
        self._last_classified_at = now
        medians = {
            route: times.median_s
            for route, times in self._routes.items()
            if times.has_enough_samples and now - times.last_ended_at < ACTIVE_WINDOW_S
        }
        shortest_s = min(medians.values(), default=0.0)
        self._long = frozenset(
            route
            for route, median_s in medians.items()
            if median_s > LONG_ROUTE_MULTIPLE * shortest_s
        )
