"""Learn how long the requests of each route hold a slot."""

import enum

ROUTES_LIMIT = 2048
DEFAULT_HOLD_S = 0.05
LEAST_HOLD_S = 0.001
AGE_HALF_LIFE_S = 30.0
ACTIVE_ROUTE_S = 60.0
CLASSIFY_EVERY_S = 1.0
LEARNT_SAMPLES = 8
LONG_MULTIPLE = 4.0
STRAGGLER_MULTIPLE = 4.0
MEAN_GAIN = 0.02
QUANTILE_GAIN = 0.05
HIGH_QUANTILE = 0.9


class SizeClass(enum.Enum):
    """Name how long a route's requests hold a slot, beside its pool's."""

    SHORT = "short"
    LONG = "long"


class Quantile:
    """Follow one quantile of a stream in constant memory."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._value = 0.0
        self._spread = 0.0
        self._samples = 0

    @property
    def value(self) -> float:
        """Return the estimate, in the samples' unit."""
        return self._value

    def note(self, sample: float) -> None:
        """Take one sample."""
        self._samples += 1
        if self._samples == 1:
            self._value = sample
            self._spread = sample / 2
            return
        gain = max(QUANTILE_GAIN, 1 / self._samples)
        # A straggler must not widen the step for those that follow.
        distance = min(abs(sample - self._value), 2 * self._value)
        self._spread += gain * (distance - self._spread)
        below = 1.0 if sample < self._value else 0.0
        self._value = max(
            0.0, self._value + 2 * gain * self._spread * (self._share - below)
        )


class HoldTimes:
    """Learn the hold times of one route; all times are in seconds."""

    def __init__(self) -> None:
        self._median = Quantile(0.5)
        self._high = Quantile(HIGH_QUANTILE)
        self._mean_s = 0.0
        self._samples = 0
        self._noted_at = 0.0

    @property
    def is_learnt(self) -> bool:
        """Say whether enough requests ended to trust the times."""
        return self._samples >= LEARNT_SAMPLES

    @property
    def mean_s(self) -> float:
        """Return the mean, stragglers included."""
        return max(LEAST_HOLD_S, self._mean_s) if self._samples else DEFAULT_HOLD_S

    @property
    def median_s(self) -> float:
        """Return the median."""
        return self._median.value

    @property
    def usual_s(self) -> float:
        """Return the time after which a report on slots is half forgotten."""
        if not self._samples:
            return DEFAULT_HOLD_S
        return max(LEAST_HOLD_S, self._median.value)

    @property
    def noted_at(self) -> float:
        """Return when the last request ended."""
        return self._noted_at

    def note(self, held_s: float, now: float) -> None:
        """Take the hold time of one answered request."""
        self._samples += 1
        gain = max(MEAN_GAIN, 1 / self._samples)
        self._mean_s += gain * (held_s - self._mean_s)
        self._median.note(held_s)
        self._high.note(held_s)
        self._noted_at = now

    def expected_s(self, now: float) -> float:
        """Return the time that half of the requests need.

        The estimate shrinks while none ends, so that a route that was shed
        for its slowness is tried again.
        """
        if not self.is_learnt:
            return 0.0
        idle_s = max(0.0, now - self._noted_at)
        return self._median.value * float(0.5 ** (idle_s / AGE_HALF_LIFE_S))

    def is_straggler(self, held_s: float) -> bool:
        """Say whether a request holds its slot far longer than its route's."""
        return self.is_learnt and held_s > STRAGGLER_MULTIPLE * self._high.value


class RouteTimes:
    """Learn the hold times of a pool's routes and class them by size."""

    def __init__(self) -> None:
        self._pool = HoldTimes()
        self._routes: dict[str, HoldTimes] = {}
        self._long: frozenset[str] = frozenset()
        self._classified_at = float("-inf")

    @property
    def pool(self) -> HoldTimes:
        """Return the times of all routes together."""
        return self._pool

    @property
    def long_routes(self) -> frozenset[str]:
        """Return the routes that are classed as long."""
        return self._long

    def note(self, route: str, held_s: float, now: float) -> None:
        """Take the hold time of one answered request."""
        self._pool.note(held_s, now)
        times = self._routes.pop(route, None) or HoldTimes()
        times.note(held_s, now)
        self._routes[route] = times
        if len(self._routes) > ROUTES_LIMIT:
            del self._routes[next(iter(self._routes))]
        if now - self._classified_at >= CLASSIFY_EVERY_S:
            self._classify(now)

    def of(self, route: str) -> HoldTimes:
        """Return the route's times, or the pool's before they are learnt."""
        times = self._routes.get(route)
        if times is None or not times.is_learnt:
            return self._pool
        return times

    def size(self, route: str) -> SizeClass:
        """Return the size class of a route."""
        return SizeClass.LONG if route in self._long else SizeClass.SHORT

    def _classify(self, now: float) -> None:
        self._classified_at = now
        medians = {
            route: times.median_s
            for route, times in self._routes.items()
            if times.is_learnt and now - times.noted_at < ACTIVE_ROUTE_S
        }
        shortest_s = min(medians.values(), default=0.0)
        self._long = frozenset(
            route
            for route, median_s in medians.items()
            if median_s > LONG_MULTIPLE * shortest_s
        )
