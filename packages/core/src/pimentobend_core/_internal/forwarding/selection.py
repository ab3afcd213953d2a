"""Choose a server from the bids of the daemons beside them."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.gossip.rows import PeerRow


class Distance(enum.IntEnum):
    """Name how far a server is; each is asked after the one before it."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


# Costs are shares of the worth of a request.
DISTANCE_COSTS = {
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.03,  # bytes between data centres are billed
    Distance.FAR: 0.25,  # bytes between regions are billed ten times higher
}
LEAST_RISK = 0.02  # of a server that has answered a moment ago
REPEATABLE_RISK_COST = 0.2  # a repeatable request has a second chance
TRIAL_WORTH = 0.25  # of learning whether a doubtful server answers again
WAIT_COST = 1.0  # for a wait as long as the route's target
BUSY_COST = 0.02  # for the last free slot
DEFAULT_TARGET_S = 1.0


class Candidate(NamedTuple):
    """Hold a server that a request may be sent to."""

    peer: PeerRow
    bid: Bid
    distance: Distance

    @property
    def server_id(self) -> str:
        """Return the id of the server."""
        return self.bid.server_id


class Need(NamedTuple):
    """Describe what a request asks of its server."""

    has_second_chance: bool  # the request may be sent once more
    target_s: float  # 0 where the route states none

    @property
    def risk_cost(self) -> float:
        """Return what a failure costs, as a share of the request's worth."""
        return REPEATABLE_RISK_COST if self.has_second_chance else 1.0


def find_distance(own: PeerRow, peer: PeerRow) -> Distance:
    """Return how far a daemon is from this one."""
    if peer.data_centre == own.data_centre:
        return Distance.DATA_CENTRE
    if peer.region == own.region:
        return Distance.REGION
    return Distance.FAR


def cost_of(candidate: Candidate, need: Need) -> float:
    """Return the expected cost of a server, as a share of the request's worth."""
    bid = candidate.bid
    wait = bid.wait_s / (need.target_s or DEFAULT_TARGET_S)
    busy = BUSY_COST / (1 + bid.free_slots)
    distance = DISTANCE_COSTS[candidate.distance]
    trial = TRIAL_WORTH if bid.wants_trial and need.has_second_chance else 0.0
    return bid.risk * need.risk_cost + wait * WAIT_COST + busy + distance - trial


def choose(
    candidates: Iterable[Candidate], need: Need, tried: frozenset[str]
) -> Candidate | None:
    """Return the cheapest server that was not tried."""
    fresh = [each for each in candidates if each.server_id not in tried]
    return min(fresh, key=lambda each: cost_of(each, need), default=None)


def is_worth_asking(distance: Distance, best: Candidate | None, need: Need) -> bool:
    """Say whether servers at a distance may cost less than the best one so far."""
    if best is None:
        return True
    least = DISTANCE_COSTS[distance] + LEAST_RISK * need.risk_cost
    return cost_of(best, need) > least
