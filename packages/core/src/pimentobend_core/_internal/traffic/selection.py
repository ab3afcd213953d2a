"""Choose one backend server among those with a free slot."""

import abc
import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

CHOICES = 2
SPILL_LOAD = 0.7  # share of a near server's slots


class Proximity(enum.IntEnum):
    """Name how far a server is from this daemon."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


class Candidate(NamedTuple):
    """Describe a server that can take one more request."""

    server_id: str
    proximity: Proximity
    load: float  # share of its slots in use, failures added
    weight: float  # share of its normal traffic, above 0 and up to 1
    is_probe: bool  # the last report showed no free slot


class Selector(abc.ABC):
    """Choose a server."""

    @abc.abstractmethod
    def select(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates, of which there is at least one."""


class LeastLoadedOfFew(Selector):
    """Take the least loaded of a few drawn at random, near ones first.

    Loads are seen late, so that many daemons that all took the least loaded
    server would rush to the same one.
    """

    def __init__(self, rng: random.Random, choices: int = CHOICES) -> None:
        self._rng = rng
        self._choices = choices

    def select(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates."""
        nearest = self._nearest(self._pass_by_weight(candidates))
        drawn = self._rng.sample(nearest, min(self._choices, len(nearest)))
        return min(drawn, key=lambda candidate: candidate.load)

    def _pass_by_weight(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        passed = [
            candidate
            for candidate in candidates
            if candidate.weight >= 1.0 or self._rng.random() < candidate.weight
        ]
        return passed or candidates

    @staticmethod
    def _nearest(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        local = [
            candidate
            for candidate in candidates
            if candidate.proximity == Proximity.DATA_CENTRE
            and candidate.load < SPILL_LOAD
        ]
        if local:
            return local
        near = [
            candidate
            for candidate in candidates
            if candidate.proximity != Proximity.FAR
        ]
        return near or candidates
