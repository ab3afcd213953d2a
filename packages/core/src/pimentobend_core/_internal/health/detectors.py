"""Turn the attempts on one backend server into scores."""

import abc
from typing import NamedTuple

from pimentobend_core._internal.health.limits import SCORE_LIMIT
from pimentobend_core._internal.health.messages import Reason


class Sample(NamedTuple):
    """Describe one ended attempt, freed of what is no evidence.

    ``excess`` is the log ratio to the peers' usual latency, None if unknown.
    """

    failed: bool
    excess: float | None


class Detector(abc.ABC):
    """Accumulate one kind of evidence; 1 is enough to avoid the server."""

    reason: Reason
    FADE_PER_S = 0.03

    def __init__(self) -> None:
        self._score = 0.0

    @property
    def score(self) -> float:
        """Return the evidence so far."""
        return self._score

    def add(self, sample: Sample) -> None:
        """Take one attempt."""
        score = self._score + self.step(sample)
        self._score = max(0.0, min(SCORE_LIMIT, score))

    def fade(self, seconds: float) -> None:
        """Let evidence grow old."""
        self._score = max(0.0, self._score - self.FADE_PER_S * seconds)

    def reset(self) -> None:
        """Forget all evidence."""
        self._score = 0.0

    @abc.abstractmethod
    def step(self, sample: Sample) -> float:
        """Return how one attempt moves the score."""


class LatencyDetector(Detector):
    """Sum how far answers lie above the peers' latency (a bounded CUSUM)."""

    reason = Reason.SLOW
    ALLOWED_EXCESS = 0.9  # log ratio: 2.5 times the peers' latency
    GAIN = 0.3
    LARGEST_STEP = 0.2  # one straggler says no more than a slow answer
    SMALLEST_STEP = -0.3

    def step(self, sample: Sample) -> float:
        """Return the bounded excess over what is allowed."""
        if sample.failed or sample.excess is None:
            return 0.0
        beyond = sample.excess - self.ALLOWED_EXCESS
        return max(self.SMALLEST_STEP, min(self.LARGEST_STEP, self.GAIN * beyond))


class FailureDetector(Detector):
    """Sum failures against successes."""

    reason = Reason.FAILING
    FAILURE_STEP = 0.3
    SUCCESS_STEP = -0.05

    def step(self, sample: Sample) -> float:
        """Return the step of a failure or a success."""
        return self.FAILURE_STEP if sample.failed else self.SUCCESS_STEP
