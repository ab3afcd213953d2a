"""Define how a simulated backend server misbehaves."""

import abc
import math
import random
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptKind


class Work(NamedTuple):
    """Say what a server makes of a request; ``service_s`` is in seconds."""

    kind: AttemptKind
    status: int
    service_s: float


class Fault(abc.ABC):
    """Change what a healthy server would have done."""

    @abc.abstractmethod
    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Return the work as the sick server does it at ``now`` (seconds)."""


class Slow(Fault):
    """Take a multiple of the usual time."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Stretch the service time."""
        return work._replace(service_s=work.service_s * self._ratio)


class Failing(Fault):
    """Answer a share of the requests with status 500, quickly."""

    FAST_S = 0.002

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Fail at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.ANSWERED, 500, self.FAST_S)


class Hanging(Fault):
    """Never answer a share of the requests."""

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Hang at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.NO_ANSWER, 0, math.inf)


class Shedding(Fault):
    """Refuse a share of the requests before the work starts."""

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Refuse at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.REFUSED, 503, 0.001)


class Flapping(Fault):
    """Switch another fault on and off."""

    def __init__(
        self, fault: Fault, sick_s: float, well_s: float, began: float
    ) -> None:
        self._fault = fault
        self._sick_s = sick_s
        self._period_s = sick_s + well_s
        self._began = began

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Apply the fault in the sick part of each period."""
        if (now - self._began) % self._period_s < self._sick_s:
            return self._fault.apply(work, rng, now)
        return work
