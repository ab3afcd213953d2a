"""Estimate how long a backend server takes for requests of each route."""

import math

ROUTES_LIMIT = 512
MIN_GAIN = 0.05  # weight of a new answer in the averages after the first 20 answers
STRAGGLER_SHARE = 0.03  # share of requests that take far longer than the rest
STRAGGLER_MULTIPLE = 6.0  # duration of such a straggler, as a multiple of the usual
DEFAULT_TARGET_S = 1.0
TARGET_TO_MEDIAN = 0.2  # assumed median before any answer, as a share of the target
PRIOR_ANSWERS = 2  # weight of the initial guess, in answers
# With fewer answers, a long wait is treated as weaker evidence that a server fails.
CONFIDENT_ANSWERS = 8
KNOWN_ANSWERS = 3  # fewer say too little of how long a route takes
# Standard deviations of the logarithm of the duration.
INITIAL_DEVIATION = 0.8
MIN_DEVIATION = 0.2
RANK_SHARE = 0.5  # share of the target that each less urgent rank may take longer
MIN_DURATION_S = 1e-4  # shorter durations carry no information about a server
P90_DEVIATIONS = 1.2816  # standard deviations from the mean to the 90th percentile
STRAGGLER_MEAN_FACTOR = 1.0 + STRAGGLER_SHARE * (STRAGGLER_MULTIPLE - 1.0)


class DurationEstimate:
    """Running estimate of the answer times of one route.

    The logarithm of the time is taken to be normally distributed; its mean and
    variance are moving averages over the answers.
    """

    def __init__(self, target_s: float) -> None:
        self._effective_target_s = target_s or DEFAULT_TARGET_S
        initial_s = self._effective_target_s * TARGET_TO_MEDIAN
        self._mean = math.log(initial_s)
        self._variance = INITIAL_DEVIATION**2
        self._answers = PRIOR_ANSWERS

    @property
    def slack_s(self) -> float:
        """Return how long a request may wait and still be answered on time, in s."""
        return max(0.0, self._effective_target_s - self.mean_s)

    @property
    def median_s(self) -> float:
        """Return the median answer time in s."""
        return math.exp(self._mean)

    @property
    def mean_s(self) -> float:
        """Return the mean answer time in s, stragglers included."""
        return math.exp(self._mean + self._variance / 2) * STRAGGLER_MEAN_FACTOR

    @property
    def p90_s(self) -> float:
        """Return the 90th percentile of the answer time in s, stragglers excluded."""
        return math.exp(self._mean + P90_DEVIATIONS * math.sqrt(self._variance))

    @property
    def is_known(self) -> bool:
        """Return whether the estimate rests on answers rather than on the target."""
        return self._answers >= PRIOR_ANSWERS + KNOWN_ANSWERS

    def set_target(self, target_s: float, rank: int) -> None:
        """Set the target, relaxed for less urgent ranks; rank 0 is the most urgent."""
        target_s = target_s or DEFAULT_TARGET_S
        self._effective_target_s = target_s * (1.0 + RANK_SHARE * rank)

    def record(self, seconds: float) -> None:
        """Update the estimate with the time of one answered request."""
        self._answers += 1
        gain = max(MIN_GAIN, 1.0 / self._answers)
        # Cap outliers so that a straggler does not shift the estimate much.
        limit = self._mean + 3 * math.sqrt(self._variance)
        sample = min(math.log(max(seconds, MIN_DURATION_S)), limit)
        distance = sample - self._mean
        self._mean += gain * distance
        self._variance += gain * (distance**2 - self._variance)
        self._variance = max(MIN_DEVIATION**2, self._variance)

    def survival(self, seconds: float) -> float:
        """Return the share of requests that take longer than ``seconds``."""
        if seconds < MIN_DURATION_S:
            return 1.0
        regular = self._share_above(math.log(seconds))
        straggler = self._share_above(math.log(seconds / STRAGGLER_MULTIPLE))
        share = (1.0 - STRAGGLER_SHARE) * regular + STRAGGLER_SHARE * straggler
        return float(
            share ** min(1.0, (self._answers + PRIOR_ANSWERS) / CONFIDENT_ANSWERS)
        )

    def _share_above(self, logarithm: float) -> float:
        deviations = (logarithm - self._mean) / math.sqrt(2 * self._variance)
        return 0.5 * math.erfc(deviations)


class RouteDurations:
    """Duration estimates of one server by route; drops the oldest route when full."""

    def __init__(self) -> None:
        self._routes: dict[str, DurationEstimate] = {}

    def of(self, route: str, target_s: float = 0.0) -> DurationEstimate:
        """Return a route's estimate; a new one starts from a share of ``target_s``."""
        estimate = self._routes.get(route)
        if estimate is None:
            if len(self._routes) >= ROUTES_LIMIT:
                del self._routes[next(iter(self._routes))]
            estimate = self._routes[route] = DurationEstimate(target_s)
        return estimate
