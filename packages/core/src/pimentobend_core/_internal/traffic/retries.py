"""Limit retries and hedges to a share of recent successes."""

from pimentobend_core._internal.models.request import AttemptKind

RETRY_SHARE = 0.2  # tokens per success
# Tokens per second for each pool, added without any success, of all instances together.
RETRY_FLOOR_PER_S = 2.0
# Tokens for the retry of a refused request: a refusal costs a server little work.
REFUSED_RETRY_COST = 0.25
HEDGE_SHARE = 0.02  # tokens per success
HEDGE_FLOOR_PER_S = 0.0  # tokens per second, added without any success
# A bucket holds CAPACITY_TOKENS and what the minimum rate adds within this time.
FLOOR_CAPACITY_S = 5.0
CAPACITY_TOKENS = 20.0

NOT_RUN_KINDS = (AttemptKind.REFUSED, AttemptKind.NOT_CONNECTED)


class TokenBucket:
    """Token bucket that is refilled by successes and at a minimum rate.

    Each success adds ``share`` tokens, and each second ``floor_per_s``, up to
    ``capacity``.
    """

    def __init__(
        self, share: float, floor_per_s: float, capacity: float | None = None
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        if capacity is None:
            capacity = CAPACITY_TOKENS + FLOOR_CAPACITY_S * floor_per_s
        self._capacity = capacity
        self._tokens = min(capacity, FLOOR_CAPACITY_S * floor_per_s)
        self._refilled_at: float | None = None

    @property
    def tokens(self) -> float:
        """Return the available tokens."""
        return self._tokens

    def credit(self, tokens: float | None = None) -> None:
        """Add ``tokens``, or the share that one success is worth."""
        earned = self._share if tokens is None else tokens
        self._tokens = min(self._capacity, self._tokens + earned)

    def set_floor(self, floor_per_s: float, capacity: float, now: float) -> None:
        """Replace the minimum rate and the capacity from ``now`` (seconds)."""
        self._refill(now)
        self._floor_per_s = floor_per_s
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)

    def available(self, now: float) -> float:
        """Return the tokens that are available at ``now`` (seconds)."""
        self._refill(now)
        return self._tokens

    def can_spend(self, now: float) -> bool:
        """Return whether a token is available at ``now`` (seconds)."""
        self._refill(now)
        return self._tokens >= 1.0

    def spend(self, now: float, cost: float = 1.0) -> bool:
        """Spend ``cost`` tokens at ``now`` (seconds); False if too few remain."""
        self._refill(now)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            earned = max(0.0, now - self._refilled_at) * self._floor_per_s
            self._tokens = min(self._capacity, self._tokens + earned)
        self._refilled_at = now


def is_safe_to_repeat(kind: AttemptKind, repeatable: bool) -> bool:
    """Return whether a request may be sent again after an attempt ended."""
    if kind in (AttemptKind.ANSWERED, AttemptKind.CANCELLED):
        return False
    return repeatable or kind in NOT_RUN_KINDS


class RetryBudget:
    """Allow retries of a pool for a share of recent successes, and at a minimum rate.

    ``floor_per_s`` is the minimum rate of all instances together. The budget starts
    without tokens, and has no minimum rate until the number of instances is known.
    """

    def __init__(
        self, share: float = RETRY_SHARE, floor_per_s: float = RETRY_FLOOR_PER_S
    ) -> None:
        self._floor_per_s = floor_per_s
        self._earned = TokenBucket(share, floor_per_s=0.0)
        self._floor = TokenBucket(share=0.0, floor_per_s=0.0)

    @property
    def tokens(self) -> float:
        """Return the available retries."""
        return self._earned.tokens + self._floor.tokens

    def update_instances(self, instances: int, now: float) -> None:
        """Divide the minimum rate by the number of instances from ``now`` (seconds)."""
        floor_per_s = self._floor_per_s / instances
        self._floor.set_floor(floor_per_s, FLOOR_CAPACITY_S * floor_per_s, now)

    def note_success(self) -> None:
        """Count one request that was answered."""
        self._earned.credit()

    def may_retry(
        self, kind: AttemptKind, repeatable: bool, deadline: float, now: float
    ) -> bool:
        """Return whether an ended attempt may be retried, and spend tokens if so.

        ``deadline`` and ``now`` are in seconds of the clock.
        """
        if now >= deadline or not is_safe_to_repeat(kind, repeatable):
            return False
        cost = REFUSED_RETRY_COST if kind is AttemptKind.REFUSED else 1.0
        return self.spend(now, cost)

    def spend(self, now: float, cost: float = 1.0) -> bool:
        """Spend ``cost`` tokens at ``now`` (seconds); False if too few remain."""
        of_floor = min(cost, self._floor.available(now))
        return self._earned.spend(now, cost - of_floor) and self._floor.spend(
            now, of_floor
        )


class HedgeBudget:
    """Allow a second attempt of slow repeatable requests while tokens last."""

    def __init__(
        self, share: float = HEDGE_SHARE, floor_per_s: float = HEDGE_FLOOR_PER_S
    ) -> None:
        self._budget = TokenBucket(share, floor_per_s)

    @property
    def tokens(self) -> float:
        """Return the available hedges."""
        return self._budget.tokens

    def note_success(self) -> None:
        """Count one request that was answered."""
        self._budget.credit()

    def may_hedge(self, repeatable: bool, deadline: float, now: float) -> bool:
        """Return whether a hedge may be sent, and spend a token if so."""
        if not repeatable or now >= deadline:
            return False
        return self._budget.spend(now)
