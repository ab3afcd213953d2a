"""Retry policy with a separate budget for each pool."""

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.retries import REFUSED_RETRY_COST
from pimentobend_core._internal.traffic.retries import RETRY_FLOOR_PER_S
from pimentobend_core._internal.traffic.retries import RETRY_SHARE
from pimentobend_core._internal.traffic.retries import RetryBudget


class BudgetedRetries(RetryPolicy):
    """Allow a retry while the budget of the request's pool has tokens.

    ``floor_per_s`` is the minimum rate of all instances together for one pool.
    """

    def __init__(
        self, share: float = RETRY_SHARE, floor_per_s: float = RETRY_FLOOR_PER_S
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._instances: int | None = None
        self._counted_at = 0.0  # seconds of the clock
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def has_minimum_rate(self) -> bool:
        """Return whether the instances that share the minimum rate are counted."""
        return self._instances is not None

    def update_instances(self, instances: int, now: float) -> None:
        """Divide the minimum rate by the number of instances from ``now`` (seconds)."""
        self._instances = instances
        self._counted_at = now
        for budget in self._budgets.values():
            budget.update_instances(instances, now)

    def may_retry(self, pool: str, now: float) -> bool:
        """Return whether a retry is allowed at ``now``, and spend a token if so."""
        return self._budget(pool).spend(now)

    def may_retry_refused(self, pool: str, now: float) -> bool:
        """Like ``may_retry``, at a lower cost, for a request that a server refused."""
        return self._budget(pool).spend(now, REFUSED_RETRY_COST)

    def succeeded(self, pool: str, now: float) -> None:
        """Add the tokens for one success to the pool's budget."""
        self._budget(pool).note_success()

    def _budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            budget = RetryBudget(self._share, self._floor_per_s)
            if self._instances is not None:
                budget.update_instances(self._instances, self._counted_at)
            self._budgets[pool] = budget
        return self._budgets[pool]
