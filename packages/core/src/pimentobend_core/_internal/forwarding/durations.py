"""Learn how long a backend server takes, by route."""

import math

ROUTES_LIMIT = 512
GAIN = 0.05  # of one answer, once enough are known
STRAGGLER_SHARE = 0.03  # of requests that take far longer than the rest
STRAGGLER_MULTIPLE = 6.0
DEFAULT_TARGET_S = 1.0
TARGET_TO_MEDIAN = 0.2  # before any answer: the median as a share of the target
FIRST_ANSWERS = 2  # the first guess counts as much as so many answers
KNOWN_ANSWERS = 8  # with fewer, a long time tells less of a server
FIRST_SPREAD = 0.8  # of the logarithm of the time
LEAST_SPREAD = 0.2
RANK_SHARE = 0.5  # of the target, by which work of the next rank may come later
LEAST_S = 1e-4  # shorter times tell nothing of a server
NINE_OF_TEN = 1.2816  # standard deviations
MEAN_OF_STRAGGLERS = 1.0 + STRAGGLER_SHARE * (STRAGGLER_MULTIPLE - 1.0)


class Durations:
    """Follow the logarithm of the answer times of one route."""

    def __init__(self, target_s: float) -> None:
        self._wanted_s = target_s or DEFAULT_TARGET_S
        first_s = self._wanted_s * TARGET_TO_MEDIAN
        self._mean = math.log(first_s)
        self._variance = FIRST_SPREAD**2
        self._answers = FIRST_ANSWERS

    @property
    def patience_s(self) -> float:
        """Return how long work may wait and still be answered when it is wanted."""
        return max(0.0, self._wanted_s - self.mean_s)

    @property
    def median_s(self) -> float:
        """Return the time in which half of the requests are answered."""
        return math.exp(self._mean)

    @property
    def mean_s(self) -> float:
        """Return the mean time, stragglers included."""
        return math.exp(self._mean + self._variance / 2) * MEAN_OF_STRAGGLERS

    @property
    def usual_s(self) -> float:
        """Return the time in which nine of ten requests are answered."""
        return math.exp(self._mean + NINE_OF_TEN * math.sqrt(self._variance))

    def follow_target(self, target_s: float, rank: int) -> None:
        """Take the route's target and rank, of which 0 is the first."""
        target_s = target_s or DEFAULT_TARGET_S
        self._wanted_s = target_s * (1.0 + RANK_SHARE * rank)

    def note(self, seconds: float) -> None:
        """Take the time of one answered request."""
        self._answers += 1
        gain = max(GAIN, 1.0 / self._answers)
        # a straggler must not pass for the usual time
        limit = self._mean + 3 * math.sqrt(self._variance)
        sample = min(math.log(max(seconds, LEAST_S)), limit)
        distance = sample - self._mean
        self._mean += gain * distance
        self._variance += gain * (distance**2 - self._variance)
        self._variance = max(LEAST_SPREAD**2, self._variance)

    def survival(self, seconds: float) -> float:
        """Return the share of requests that take longer than ``seconds``."""
        if seconds < LEAST_S:
            return 1.0
        usual = self._tail(math.log(seconds))
        straggler = self._tail(math.log(seconds / STRAGGLER_MULTIPLE))
        share = (1.0 - STRAGGLER_SHARE) * usual + STRAGGLER_SHARE * straggler
        return float(share ** min(1.0, (self._answers + FIRST_ANSWERS) / KNOWN_ANSWERS))

    def _tail(self, logarithm: float) -> float:
        deviations = (logarithm - self._mean) / math.sqrt(2 * self._variance)
        return 0.5 * math.erfc(deviations)


class RouteDurations:
    """Own the durations of the routes that a server answers."""

    def __init__(self) -> None:
        self._routes: dict[str, Durations] = {}

    def of(self, route: str, target_s: float = 0.0) -> Durations:
        """Return a route's durations; ``target_s`` guesses those of a new one."""
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= ROUTES_LIMIT:
                del self._routes[next(iter(self._routes))]
            known = self._routes[route] = Durations(target_s)
        return known
