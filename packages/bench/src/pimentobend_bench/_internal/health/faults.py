"""Faults of simulated backend servers."""

import abc
import math
import random
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptKind


class Work(NamedTuple):
    """How a server responds to a request, and after how many seconds."""

    kind: AttemptKind
    status: int
    service_s: float


class Fault(abc.ABC):
    """Changes the response of a healthy server."""

    @abc.abstractmethod
    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Return the response of the faulty server at ``now`` (seconds)."""


class Slow(Fault):
    """Takes a multiple of the usual service time."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Multiply the service time."""
        return work._replace(service_s=work.service_s * self._ratio)


class Failing(Fault):
    """Answers a share of the requests at once with status 500."""

    SERVICE_S = 0.002

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Fail at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.ANSWERED, 500, self.SERVICE_S)


class Hanging(Fault):
    """Never answers a share of the requests."""

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Hang at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.NO_ANSWER, 0, math.inf)


class Shedding(Fault):
    """Refuses a share of the requests before it starts to process them."""

    def __init__(self, share: float) -> None:
        self._share = share

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Refuse at random."""
        if rng.random() >= self._share:
            return work
        return Work(AttemptKind.REFUSED, 503, 0.001)


class Flapping(Fault):
    """Switches another fault on and off periodically."""

    def __init__(
        self, fault: Fault, faulty_s: float, healthy_s: float, starts_at: float
    ) -> None:
        self._fault = fault
        self._faulty_s = faulty_s
        self._period_s = faulty_s + healthy_s
        self._starts_at = starts_at

    def apply(self, work: Work, rng: random.Random, now: float) -> Work:
        """Apply the fault in the faulty part of each period."""
        if (now - self._starts_at) % self._period_s < self._faulty_s:
            return self._fault.apply(work, rng, now)
        return work
