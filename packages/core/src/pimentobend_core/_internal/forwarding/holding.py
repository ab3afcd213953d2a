"""Decide how long a request or a hedge waits before its next attempt is sent.

The decisions answer servers that are busy, fail, or have no retry budget left for a
while.
"""

from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery_messages import HoldReason
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.selection import FAILING_RISK
from pimentobend_core._internal.forwarding.selection import MAX_HEDGE_COST
from pimentobend_core._internal.forwarding.selection import Selection

HOLD_SHARE = 0.6  # share of the time to the deadline that an unsent request may wait
# A request that may not be repeated waits this share of its target latency for a
# reliable server.
RISK_HOLD_SHARE = 0.2
# A hedge is due after this multiple of the 90th percentile in the server's bid.
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


def find_hold_reason(selection: Selection, waiting: Waiting) -> HoldReason | None:
    """Return why nothing is sent now, or None if the best server is used."""
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


def hedge_delay_s(bid: Bid, target_s: float) -> float:
    """Return how long after an attempt on a bid its hedge is due, in seconds."""
    delay_s = bid.wait_s + max(MIN_HEDGE_DELAY_S, HEDGE_P90_MULTIPLE * bid.p90_s)
    return min(delay_s, MAX_HEDGE_TARGET_SHARE * target_s) if target_s else delay_s
