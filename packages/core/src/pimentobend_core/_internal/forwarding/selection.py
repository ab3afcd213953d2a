"""Select the server for an attempt from the bids that daemons made."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.rejection import UNSAFE_RISK_LIMIT
from pimentobend_core._internal.gossip.rows import PeerRow


class Distance(enum.IntEnum):
    """How far away a server is; servers are asked in this order, nearest first."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


class CrossingCost(NamedTuple):
    """Cost of sending a request as far as a distance; both are billed traffic."""

    base: float
    per_kb: float  # of the request, its answer and the questions before it


# All costs are shares of the value of a request.
CROSSING_COSTS = {
    Distance.REGION: CrossingCost(0.04, 0.04),
    Distance.FAR: CrossingCost(0.31, 0.04),
}
OVERHEAD_KB = 1.0  # heads, questions and a small answer of a request
# A larger request costs no more by the size, so that it still leaves a server that
# fails it.
MAX_BILLED_KB = 4.0
# A large body also holds up the other requests on the links of both machines: at a
# few Mbit/s, 60 KB take 0.1 s of each. Such a body leaves its data centre only where
# a server there would probably lose it or answer late.
BULK_COST = 0.4
BULK_KB = 60.0  # body that costs all of it; smaller ones cost their part
BYTES_PER_KB = 1000
MIN_RISK = 0.02  # risk of a server that answered a moment ago
REPEATABLE_RISK_COST = 0.2  # cost of a failure after which a retry is possible
TRIAL_BENEFIT = 0.25  # value of learning whether a doubtful server answers again
FAILING_RISK = 0.5  # from this risk on, a server probably fails a request
# A hedge that costs more is not sent, as it is not worth its traffic and its slot.
MAX_HEDGE_COST = 0.5
# A doubtful server is sent a trial only if the request can be retried on another
# server, whose risk is below this.
MAX_FALLBACK_RISK = 0.1
# Cost of a wait that is as long as the time left until the target latency, where the
# answer comes in time all the same.
WAIT_COST = 0.2
LATE_COST = 0.6  # cost of an answer after the target latency
MISSED_COST = 0.4  # cost of no answer before the deadline, in addition to a late one
# An answer that is expected after this share of the time left is late with a
# probability that grows to 1 at LATEST_SHARE.
EARLIEST_SHARE = 0.5
LATEST_SHARE = 1.25
REFUSAL_COST = 0.3  # cost of an attempt that its server refuses to run
# Cost of a server that probably loses the request, where that cannot be made good.
LOSS_COST = 1.0
BUSY_COST = 0.02  # cost of a server without a free slot; divided by 1 + free slots
MIN_TIME_S = 0.001  # shorter times are as good as none
DEFAULT_TARGET_S = 1.0  # assumed for routes without a target latency


class Candidate(NamedTuple):
    """A server that a request may be sent to, with its daemon and its bid."""

    peer: PeerRow
    bid: Bid
    distance: Distance

    @property
    def server_id(self) -> str:
        """Return the id of the server."""
        return self.bid.server_id


class Requirements(NamedTuple):
    """What matters to a request in the choice of its server."""

    has_second_chance: bool  # the request may be retried
    target_s: float  # time left until the target latency; 0 if the route has none
    remaining_s: float  # time left until the deadline
    may_send_trial: bool = False  # it may be sent to test a server that asks for it
    body_bytes: int | None = 0  # None if the length of the body is not known

    def failure_cost(self, *, is_trial: bool = False) -> float:
        """Return the cost of a failed attempt, as a share of the request's value."""
        return REPEATABLE_RISK_COST if self.has_second_chance or is_trial else 1.0

    def distance_cost(self, distance: Distance) -> float:
        """Return the cost of the traffic to a server, as a share of the value."""
        if distance is Distance.DATA_CENTRE:
            return 0.0
        body_kb = BULK_KB
        if self.body_bytes is not None:
            body_kb = self.body_bytes / BYTES_PER_KB
        cost = CROSSING_COSTS[distance]
        size_kb = min(MAX_BILLED_KB, OVERHEAD_KB + body_kb)
        bulk = min(1.0, max(0.0, body_kb - MAX_BILLED_KB) / (BULK_KB - MAX_BILLED_KB))
        return cost.base + cost.per_kb * size_kb + BULK_COST * bulk


def find_distance(own: PeerRow, peer: PeerRow) -> Distance:
    """Return how far the daemon ``peer`` is from the daemon ``own``."""
    if peer.data_centre == own.data_centre:
        return Distance.DATA_CENTRE
    if peer.region == own.region:
        return Distance.REGION
    return Distance.FAR


def cost_of(candidate: Candidate, requirements: Requirements) -> float:
    """Return the expected cost of a candidate, as a share of the request's value."""
    bid = candidate.bid
    busy = BUSY_COST / (1 + bid.free_slots)
    distance = requirements.distance_cost(candidate.distance)
    is_trial = bid.wants_trial and requirements.may_send_trial
    risk = bid.risk * requirements.failure_cost(is_trial=is_trial)
    is_final = not requirements.has_second_chance and not is_trial
    if is_final and bid.risk >= UNSAFE_RISK_LIMIT:
        risk += LOSS_COST
    risk += bid.refusal_share * REFUSAL_COST
    trial = TRIAL_BENEFIT if is_trial else 0.0
    return risk + wait_cost(bid, requirements) + busy + distance - trial


def wait_cost(bid: Bid, requirements: Requirements) -> float:
    """Return the expected cost of waiting for a slot, as a share of the value.

    A wait after which the answer still comes within the target latency costs little;
    one that makes it late, or misses the deadline, costs what the caller loses by it.
    """
    target_s = requirements.target_s or DEFAULT_TARGET_S
    cost = WAIT_COST * bid.wait_s / target_s
    for limit_s, loss in (
        (target_s, LATE_COST),
        (requirements.remaining_s, MISSED_COST),
    ):
        unwaited = _late_probability(bid.p90_s, limit_s)
        cost += loss * (_late_probability(bid.wait_s + bid.p90_s, limit_s) - unwaited)
    return cost


def _late_probability(expected_s: float, limit_s: float) -> float:
    share = expected_s / max(limit_s, MIN_TIME_S)
    span = LATEST_SHARE - EARLIEST_SHARE
    return min(1.0, max(0.0, (share - EARLIEST_SHARE) / span))


class ScoredCandidate(NamedTuple):
    """A candidate and its expected cost."""

    candidate: Candidate
    cost: float


def select_cheapest(
    candidates: Iterable[Candidate], requirements: Requirements, tried: frozenset[str]
) -> ScoredCandidate | None:
    """Return the cheapest candidate that was not tried, or None."""
    untried = [each for each in candidates if each.server_id not in tried]
    if requirements.has_second_chance:
        reliable = [each.bid for each in untried if each.bid.risk < MAX_FALLBACK_RISK]
        # Trials are rare, so they are allowed even while the retry budget is spent.
        has_budget = any(bid.takes_repeats for bid in reliable)
        requirements = requirements._replace(
            has_second_chance=has_budget, may_send_trial=bool(reliable)
        )
    choices = (ScoredCandidate(each, cost_of(each, requirements)) for each in untried)
    return min(choices, key=lambda each: each.cost, default=None)


def is_worth_asking(
    distance: Distance, best: ScoredCandidate | None, requirements: Requirements
) -> bool:
    """Return whether a server at ``distance`` might cost less than ``best``."""
    distance_cost = requirements.distance_cost(distance)
    min_cost = distance_cost + MIN_RISK * requirements.failure_cost()
    return best is None or best.cost > min_cost


class Selection(NamedTuple):
    """The best of the servers that were asked, and what limits its use."""

    best: ScoredCandidate | None
    is_hedge_optional: bool  # the server that runs the request seems healthy
    lacks_budget: bool  # there are servers, but none has retry budget left
    lacks_copies: bool = False  # nor does any take an extra copy


def select_next(
    candidates: tuple[Candidate, ...],
    requirements: Requirements,
    excluded: frozenset[str],
    running: tuple[Candidate, ...],
    *,
    is_repeat: bool,
) -> Selection:
    """Select the best server for the next attempt of a request."""
    if not is_repeat:
        return Selection(
            select_cheapest(candidates, requirements, excluded), False, False
        )
    # While the running server seems healthy, a queued hedge only lengthens a queue.
    is_optional = bool(running) and not seems_to_fail(running, candidates)
    affordable = select_for_repeat(candidates, may_queue=not is_optional)
    taking = affordable
    if running:
        taking = tuple(each for each in affordable if each.bid.takes_copies)
    best = select_cheapest(taking, requirements, excluded)
    if best is not None:
        return Selection(best, is_optional, lacks_budget=False)
    lacks_copies = select_cheapest(affordable, requirements, excluded) is not None
    lacks_budget = select_cheapest(candidates, requirements, excluded) is not None
    return Selection(None, is_optional, lacks_budget, lacks_copies)


def seems_to_fail(
    running: Iterable[Candidate], candidates: tuple[Candidate, ...]
) -> bool:
    """Return whether a server that runs the request is likely failing.

    A newer bid among ``candidates`` replaces the one the attempt was sent on.
    """
    bids = {each.server_id: each.bid for each in running}
    bids.update((c.server_id, c.bid) for c in candidates if c.server_id in bids)
    return any(bid.risk >= FAILING_RISK for bid in bids.values())


def select_for_repeat(
    candidates: tuple[Candidate, ...], *, may_queue: bool
) -> tuple[Candidate, ...]:
    """Return the candidates that may run a retry or a hedge of a request."""
    return tuple(
        each
        for each in candidates
        if each.bid.takes_repeats and (may_queue or each.bid.free_slots)
    )
