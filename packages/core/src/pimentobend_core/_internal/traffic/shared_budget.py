"""Share one retry budget between the daemons of a fleet."""

from typing import NamedTuple

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.retries import TokenBudget

SHARE_IN_USE = 0.7  # of the budget's ratio; repeated requests repeat their own calls
REFUSED_COST = 1.0  # a refusal has reached the server and counts in full
LEAST_TOKENS = 1.0


class BudgetTerms(NamedTuple):
    """Bound the repeats for a service, summed over all daemons."""

    ratio: float  # repeats for each request
    window_s: float
    allowance: float  # repeats in each window besides


class SharedBudget(RetryPolicy):
    """Take repeats from this daemon's part of the fleet's budget."""

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._daemons = 1
        self._budgets: dict[str, TokenBudget] = {}

    def follow_fleet(self, daemons: int) -> None:
        """Take the number of daemons, which share the allowance."""
        if daemons != self._daemons:
            self._daemons = max(1, daemons)
            self._budgets.clear()

    def may_retry(self, pool: str, now: float) -> bool:
        """Take one repeat from the pool's budget at ``now`` (seconds)."""
        return self._budget(pool).spend(now)

    def may_offer_again(self, pool: str, now: float) -> bool:
        """Take one repeat of work that a server refused unrun."""
        return self._budget(pool).spend(now, REFUSED_COST)

    def succeeded(self, pool: str, now: float) -> None:
        """Credit the pool's budget with a success at ``now`` (seconds)."""
        self._budget(pool).earn()

    def _budget(self, pool: str) -> TokenBudget:
        if pool not in self._budgets:
            allowance = self._terms.allowance / self._daemons
            self._budgets[pool] = TokenBudget(
                SHARE_IN_USE * self._terms.ratio,
                SHARE_IN_USE * allowance / self._terms.window_s,
                max(LEAST_TOKENS, allowance),
            )
        return self._budgets[pool]
