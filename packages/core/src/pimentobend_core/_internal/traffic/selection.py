"""Choose one backend server among those with a free slot."""

import abc
import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

SAMPLE_SIZE = 2  # servers whose load is compared for each request
# Servers of this data centre are preferred while their load is below this share of
# their slots; after that, servers of the whole region are chosen from.
SPILL_LOAD = 0.7


class Proximity(enum.IntEnum):
    """The distance of a server from this daemon, nearest first."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


class Candidate(NamedTuple):
    """A server that can take one more request."""

    server_id: str
    proximity: Proximity
    load: float  # share of its slots in use, plus the decayed failure count
    weight: float  # share of its normal traffic, above 0 and up to 1
    is_probe: bool  # the last report showed no free slot
    is_proven: bool = True  # it has answered well, or had time to be tested


class Selector(abc.ABC):
    """Strategy for choosing among servers with a free slot."""

    @abc.abstractmethod
    def select(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates, of which there is at least one."""


class LeastLoadedOfSample(Selector):
    """Choose the least loaded of a few random servers, preferring near ones.

    Load information is delayed: if every daemon chose the least loaded of all
    servers, they would all send to the same one.
    """

    def __init__(self, rng: random.Random, sample_size: int = SAMPLE_SIZE) -> None:
        self._rng = rng
        self._sample_size = sample_size

    def select(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates."""
        nearest = self._nearest(self._filter_by_weight(candidates))
        sample = self._rng.sample(nearest, min(self._sample_size, len(nearest)))
        return min(sample, key=lambda candidate: candidate.load)

    def _filter_by_weight(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        kept = [
            candidate
            for candidate in candidates
            if candidate.weight >= 1.0 or self._rng.random() < candidate.weight
        ]
        return kept or candidates

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
