"""Detectors that turn the attempts on one backend server into scores."""

import abc
from typing import NamedTuple

from pimentobend_core._internal.health.limits import SCORE_LIMIT
from pimentobend_core._internal.health.messages import Reason


class Sample(NamedTuple):
    """One ended attempt that counts as evidence.

    ``excess`` is the natural logarithm of the ratio of its latency to the
    median of the other servers (the peers), or None if that is unknown.
    """

    failed: bool
    excess: float | None


class Detector(abc.ABC):
    """Accumulate one kind of evidence against a server.

    At a score of 1 (``SUSPECT_SCORE``) an observer avoids the server.
    """

    reason: Reason
    DECAY_PER_S = 0.03  # how much the score falls in each second

    def __init__(self) -> None:
        self._score = 0.0

    @property
    def score(self) -> float:
        """Return the current score, between 0 and ``SCORE_LIMIT``."""
        return self._score

    def add(self, sample: Sample) -> None:
        """Update the score with one attempt."""
        score = self._score + self.step(sample)
        self._score = max(0.0, min(SCORE_LIMIT, score))

    def decay(self, seconds: float) -> None:
        """Reduce the score for ``seconds`` of elapsed time."""
        self._score = max(0.0, self._score - self.DECAY_PER_S * seconds)

    def reset(self) -> None:
        """Set the score to 0."""
        self._score = 0.0

    @abc.abstractmethod
    def step(self, sample: Sample) -> float:
        """Return the change of the score for one attempt."""


class LatencyDetector(Detector):
    """Bounded CUSUM of the log ratios between a server's and its peers' latencies."""

    reason = Reason.SLOW
    ALLOWED_EXCESS = 0.9  # logarithm of the ratio; 2.5 times the peers' latency
    GAIN = 0.3  # change of the score for each unit beyond ALLOWED_EXCESS
    MAX_STEP = 0.2  # a very slow answer counts no more than a slow one
    MIN_STEP = -0.3

    def step(self, sample: Sample) -> float:
        """Return the excess beyond ``ALLOWED_EXCESS``, scaled and bounded."""
        if sample.failed or sample.excess is None:
            return 0.0
        over_limit = sample.excess - self.ALLOWED_EXCESS
        return max(self.MIN_STEP, min(self.MAX_STEP, self.GAIN * over_limit))


class FailureDetector(Detector):
    """Raise the score for each failure and lower it for each success."""

    reason = Reason.FAILING
    FAILURE_STEP = 0.3
    SUCCESS_STEP = -0.05

    def step(self, sample: Sample) -> float:
        """Return the step for a failure or a success."""
        return self.FAILURE_STEP if sample.failed else self.SUCCESS_STEP
