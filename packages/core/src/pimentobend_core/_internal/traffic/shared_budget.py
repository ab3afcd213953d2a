"""Share one retry budget between the daemons of a fleet."""

from collections import deque
from typing import NamedTuple

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.retries import TokenBudget

SHARE_IN_USE = 0.5  # of the budget; a repeated request makes up to two calls again
ORIGIN_SHARE = 0.3  # of successes: what one origin repeats at the most
ORIGIN_FLOOR_PER_S = 0.5
ORIGIN_TOKENS = 10.0


class BudgetTerms(NamedTuple):
    """Bound the repeats for a service, summed over all daemons."""

    ratio: float  # repeats for each request
    window_s: float
    allowance: float  # repeats in each window besides


class OriginBudget(RetryPolicy):
    """Bound the repeats of one origin; the daemons beside the servers bound all."""

    def __init__(self) -> None:
        self._budgets: dict[str, TokenBudget] = {}

    def may_retry(self, pool: str, now: float) -> bool:
        """Take one repeat from the pool's budget at ``now`` (seconds)."""
        return self._budget(pool).spend(now)

    def succeeded(self, pool: str, now: float) -> None:
        """Credit the pool's budget with a success at ``now`` (seconds)."""
        self._budget(pool).earn()

    def _budget(self, pool: str) -> TokenBudget:
        if pool not in self._budgets:
            budget = TokenBudget(ORIGIN_SHARE, ORIGIN_FLOOR_PER_S, ORIGIN_TOKENS)
            budget.earn(ORIGIN_TOKENS)
            self._budgets[pool] = budget
        return self._budgets[pool]


class ServerBudget:
    """Bound the repeats that reach one server to its part of the service's."""

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._arrivals: deque[tuple[float, bool]] = deque()
        self._repeats = 0

    def note(self, now: float, *, is_repeat: bool) -> None:
        """Take an arrival at ``now`` (seconds)."""
        self._arrivals.append((now, is_repeat))
        self._repeats += is_repeat

    def allows(self, servers: int, now: float) -> bool:
        """Say whether one more repeat may arrive at one of so many servers."""
        self._forget(now)
        firsts = len(self._arrivals) - self._repeats
        limit = self._terms.ratio * firsts + self._terms.allowance / max(1, servers)
        return self._repeats + 1 <= SHARE_IN_USE * limit

    def _forget(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0][0] > self._terms.window_s:
            _, is_repeat = self._arrivals.popleft()
            self._repeats -= is_repeat
