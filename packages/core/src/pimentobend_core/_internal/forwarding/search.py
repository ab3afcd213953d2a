"""Decide how far away servers are asked for bids for a request.

The decision answers trouble that is the same everywhere, such as a service whose
servers all shed load: questions to other data centres and regions then find nothing
better, and they make up much of the traffic between them.
"""

from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Requirements
from pimentobend_core._internal.forwarding.selection import ScoredCandidate
from pimentobend_core._internal.forwarding.selection import Selection
from pimentobend_core._internal.forwarding.selection import is_worth_asking
from pimentobend_core._internal.forwarding.selection import select_next

# With fewer recent bids of a distance, nothing is taken for granted there.
MIN_RECENT = 2


class Wanted(NamedTuple):
    """What a request needs, and the servers that it excludes or runs on."""

    requirements: Requirements
    excluded: frozenset[str]
    running: tuple[Candidate, ...]
    is_repeat: bool

    def select(self, candidates: tuple[Candidate, ...]) -> Selection:
        """Return the best of the candidates for the next attempt."""
        return select_next(
            candidates,
            self.requirements,
            self.excluded,
            self.running,
            is_repeat=self.is_repeat,
        )


def find_next_distance(
    offers: Offers, best: ScoredCandidate | None, wanted: Wanted
) -> Distance | None:
    """Return how far away to ask next; None if nothing better is expected there."""
    for distance in Distance:
        if distance <= offers.distance:
            continue
        if not is_worth_asking(distance, best, wanted.requirements):
            continue
        recent = tuple(each for each in offers.recent if each.distance is distance)
        if len(recent) < MIN_RECENT or _is_better(recent, best, wanted):
            return distance
    return None


def _is_better(
    recent: tuple[Candidate, ...], best: ScoredCandidate | None, wanted: Wanted
) -> bool:
    """Return whether one of the recent bids would be preferred to the best server."""
    found = wanted.select(recent).best
    return found is not None and (best is None or found.cost < best.cost)
