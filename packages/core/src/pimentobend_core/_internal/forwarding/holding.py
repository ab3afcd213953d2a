"""Decide how long a request or a hedge waits before its next attempt is sent.

The decisions answer servers that are busy, fail, or have no retry budget left for a
while.
"""

import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery_messages import HoldReason
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.selection import FAILING_RISK
from pimentobend_core._internal.forwarding.selection import MAX_HEDGE_COST
from pimentobend_core._internal.forwarding.selection import Selection

# Servers are asked for bids again at an interval that doubles each time.
ASK_INTERVAL_S = 0.1
MAX_ASK_INTERVAL_S = 0.8
# Retry budgets are renewed over seconds, so asking sooner only repeats the question to
# the servers of all regions.
MIN_BUDGET_INTERVAL_S = 0.4
HOLD_SHARE = 0.6  # share of the time to the deadline that an unsent request may wait
# A request that may not be repeated waits this share of its target latency for a
# reliable server.
RISK_HOLD_SHARE = 0.2
# A hedge is due after this multiple of the 90th percentile in the server's bid, or of
# the usual one if that is shorter.
HEDGE_P90_MULTIPLE = 1.2
MIN_HEDGE_DELAY_S = 0.05
# A hedge is due at the latest after this share of the route's target latency.
MAX_HEDGE_TARGET_SHARE = 0.5


class Waiting(NamedTuple):
    """What a request is, and how long it has waited; times are in seconds."""

    is_running: bool  # at some server
    is_repeatable: bool
    waited_s: float
    target_s: float  # target latency of its route; 0 if it has none


class AskInterval:
    """Interval at which servers are asked for bids again."""

    def __init__(self) -> None:
        self._next_s = ASK_INTERVAL_S

    def take_s(self, reason: HoldReason | None = None) -> float:
        """Return the interval until the next ask, and double the one after it."""
        interval_s = self._next_s
        if reason is HoldReason.BUDGET:
            interval_s = max(MIN_BUDGET_INTERVAL_S, interval_s)
        self._next_s = min(MAX_ASK_INTERVAL_S, 2 * interval_s)
        return interval_s


def find_busy_reason(selection: Selection) -> HoldReason:
    """Return why a hedge that is not urgent is not sent to any of its servers."""
    return HoldReason.COPIES if selection.lacks_copies else HoldReason.BUSY


def find_hold_reason(selection: Selection, waiting: Waiting) -> HoldReason | None:
    """Return why nothing is sent now, or None if the best server is used."""
    if selection.lacks_copies:
        return HoldReason.COPIES
    if selection.best is None:
        return HoldReason.BUDGET if selection.lacks_budget else HoldReason.NO_SERVER
    if waiting.is_running:
        is_too_costly = selection.best.cost > MAX_HEDGE_COST
        return HoldReason.COST if is_too_costly else None
    if waiting.is_repeatable or selection.best.candidate.bid.risk < FAILING_RISK:
        return None
    is_early = waiting.waited_s < RISK_HOLD_SHARE * waiting.target_s
    return HoldReason.RISK if is_early else None


def max_hold_s(time_limit_s: float, target_s: float, *, has_arrived: bool) -> float:
    """Return how long a request that no server runs may wait in all, in seconds.

    ``time_limit_s`` is the time from its start to its deadline.
    """
    hold_s = HOLD_SHARE * time_limit_s
    return min(hold_s, target_s) if has_arrived and target_s else hold_s


def usual_p90_s(bids: Iterable[Bid]) -> float:
    """Return the median of the servers' 90th percentiles; infinite if none is known."""
    known = [bid.p90_s for bid in bids if bid.is_known]
    return statistics.median_low(known) if known else math.inf


def hedge_delay_s(bid: Bid, usual_s: float, target_s: float) -> float:
    """Return how long after an attempt on a bid its hedge is due, in seconds.

    ``usual_s`` is the 90th percentile of the answer times at the service's servers: the
    hedge at a slow server is due as early as elsewhere.
    """
    p90_s = min(bid.p90_s, usual_s)
    delay_s = bid.wait_s + max(MIN_HEDGE_DELAY_S, HEDGE_P90_MULTIPLE * p90_s)
    return min(delay_s, MAX_HEDGE_TARGET_SHARE * target_s) if target_s else delay_s
