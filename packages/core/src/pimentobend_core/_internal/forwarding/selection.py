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
RISK_LIMIT = 0.5  # above it a server more likely fails than answers
HEDGE_COST_LIMIT = 0.5  # above it a hedge is not worth its bytes and its slot
FALLBACK_RISK = 0.1  # of the server that a failed trial is repeated on, at the most
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
    may_try: bool = False  # whether a doubtful server answers again

    def risk_cost(self, *, is_trial: bool = False) -> float:
        """Return what a failure costs, as a share of the request's worth."""
        return REPEATABLE_RISK_COST if self.has_second_chance or is_trial else 1.0


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
    is_trial = bid.wants_trial and need.may_try
    risk = bid.risk * need.risk_cost(is_trial=is_trial)
    trial = TRIAL_WORTH if is_trial else 0.0
    return risk + wait * WAIT_COST + busy + distance - trial


class Choice(NamedTuple):
    """Hold the cheapest server and what it is expected to cost."""

    candidate: Candidate
    cost: float


def choose(
    candidates: Iterable[Candidate], need: Need, tried: frozenset[str]
) -> Choice | None:
    """Return the cheapest server that was not tried."""
    fresh = [each for each in candidates if each.server_id not in tried]
    if need.has_second_chance:
        sound = [each.bid for each in fresh if each.bid.risk < FALLBACK_RISK]
        # trials are few, so they go on while the retry budget is spent
        has_budget = any(bid.takes_repeats for bid in sound)
        need = need._replace(has_second_chance=has_budget, may_try=bool(sound))
    choices = (Choice(each, cost_of(each, need)) for each in fresh)
    return min(choices, key=lambda each: each.cost, default=None)


def is_worth_asking(distance: Distance, best: Choice | None, need: Need) -> bool:
    """Say whether servers at a distance may cost less than the best one so far."""
    least = DISTANCE_COSTS[distance] + LEAST_RISK * need.risk_cost()
    return best is None or best.cost > least


class Found(NamedTuple):
    """Hold the best server of those that were asked."""

    best: Choice | None
    is_spare_hedge: bool  # the server that runs the request seems to work
    lacks_budget: bool  # servers were found, and none takes repeats


def find_next(
    candidates: tuple[Candidate, ...],
    need: Need,
    excluded: frozenset[str],
    running: tuple[Candidate, ...],
    *,
    is_repeat: bool,
) -> Found:
    """Return the best server that may take the next attempt of a request."""
    if not is_repeat:
        return Found(choose(candidates, need, excluded), False, False)
    # while its server seems to work, a hedge in a queue would only lengthen it
    is_spare = bool(running) and not seems_to_fail(running, candidates)
    affordable = select_for_repeat(candidates, may_queue=not is_spare)
    best = choose(affordable, need, excluded)
    lacks_budget = best is None and choose(candidates, need, excluded) is not None
    return Found(best, is_spare, lacks_budget)


def seems_to_fail(
    running: Iterable[Candidate], candidates: tuple[Candidate, ...]
) -> bool:
    """Say whether a server that runs a request more likely fails, by newer bids."""
    bids = {each.server_id: each.bid for each in running}
    bids.update((c.server_id, c.bid) for c in candidates if c.server_id in bids)
    return any(bid.risk >= RISK_LIMIT for bid in bids.values())


def select_for_repeat(
    candidates: tuple[Candidate, ...], *, may_queue: bool
) -> tuple[Candidate, ...]:
    """Return the servers that may take one more attempt of a request."""
    return tuple(
        each
        for each in candidates
        if each.bid.takes_repeats and (may_queue or each.bid.free_slots)
    )
