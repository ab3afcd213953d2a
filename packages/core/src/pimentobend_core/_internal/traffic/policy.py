"""Give each pool a retry budget of its own."""

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.retries import OFFER_COST
from pimentobend_core._internal.traffic.retries import RETRY_FLOOR_PER_S
from pimentobend_core._internal.traffic.retries import RETRY_SHARE
from pimentobend_core._internal.traffic.retries import TokenBudget


class BudgetedRetries(RetryPolicy):
    """Take retries from the budget of the request's pool."""

    def __init__(
        self, share: float = RETRY_SHARE, floor_per_s: float = RETRY_FLOOR_PER_S
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._budgets: dict[str, TokenBudget] = {}

    def may_retry(self, pool: str, now: float) -> bool:
        """Take one retry from the pool's budget at ``now`` (seconds)."""
        return self._budget(pool).spend(now)

    def may_offer_again(self, pool: str, now: float) -> bool:
        """Take one retry of work that a server refused unrun."""
        return self._budget(pool).spend(now, OFFER_COST)

    def succeeded(self, pool: str, now: float) -> None:
        """Credit the pool's budget with a success at ``now`` (seconds)."""
        self._budget(pool).earn()

    def _budget(self, pool: str) -> TokenBudget:
        if pool not in self._budgets:
            self._budgets[pool] = TokenBudget(self._share, self._floor_per_s)
        return self._budgets[pool]
