"""Bound retries and hedges by what succeeded lately."""

from pimentobend_core._internal.models.request import AttemptKind

RETRY_SHARE = 0.2  # of recent successes
RETRY_FLOOR_PER_S = 2.0
OFFER_COST = 0.25  # tokens; a refusal before the work costs a server little
HEDGE_SHARE = 0.02  # of recent successes
HEDGE_FLOOR_PER_S = 0.0
CAPACITY_S = 5.0  # seconds' worth of floor that may be saved up
CAPACITY_TOKENS = 20.0

NOT_RUN_KINDS = (AttemptKind.REFUSED, AttemptKind.NOT_CONNECTED)


class TokenBudget:
    """Earn a share of a token for each success, and a floor with time."""

    def __init__(
        self, share: float, floor_per_s: float, capacity: float | None = None
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        if capacity is None:
            capacity = CAPACITY_TOKENS + CAPACITY_S * floor_per_s
        self._capacity = capacity
        self._tokens = min(capacity, CAPACITY_S * floor_per_s)
        self._earned_at: float | None = None

    @property
    def tokens(self) -> float:
        """Return the tokens at hand."""
        return self._tokens

    def earn(self, tokens: float | None = None) -> None:
        """Count one success, worth the budget's share or some other tokens."""
        earned = self._share if tokens is None else tokens
        self._tokens = min(self._capacity, self._tokens + earned)

    def can_spend(self, now: float) -> bool:
        """Say whether a token is at hand at ``now`` (seconds)."""
        self._earn_floor(now)
        return self._tokens >= 1.0

    def spend(self, now: float, cost: float = 1.0) -> bool:
        """Take ``cost`` tokens at ``now`` (seconds); False when they are spent."""
        self._earn_floor(now)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def _earn_floor(self, now: float) -> None:
        if self._earned_at is not None:
            earned = max(0.0, now - self._earned_at) * self._floor_per_s
            self._tokens = min(self._capacity, self._tokens + earned)
        self._earned_at = now


def is_safe_to_repeat(kind: AttemptKind, repeatable: bool) -> bool:
    """Say whether the work of an ended attempt may be sent once more."""
    if kind in (AttemptKind.ANSWERED, AttemptKind.CANCELLED):
        return False
    return repeatable or kind in NOT_RUN_KINDS


class RetryBudget:
    """Allow retries out of a share of recent successes and a small floor."""

    def __init__(
        self, share: float = RETRY_SHARE, floor_per_s: float = RETRY_FLOOR_PER_S
    ) -> None:
        self._budget = TokenBudget(share, floor_per_s)

    @property
    def tokens(self) -> float:
        """Return the retries at hand."""
        return self._budget.tokens

    def note_success(self) -> None:
        """Count one request that was answered."""
        self._budget.earn()

    def may_retry(
        self, kind: AttemptKind, repeatable: bool, deadline: float, now: float
    ) -> bool:
        """Say whether an ended attempt may be retried, and spend a token if so.

        ``deadline`` and ``now`` are in seconds of the clock.
        """
        if now >= deadline or not is_safe_to_repeat(kind, repeatable):
            return False
        cost = OFFER_COST if kind is AttemptKind.REFUSED else 1.0
        return self._budget.spend(now, cost)


class HedgeBudget:
    """Allow a second attempt on slow repeatable work out of spare budget."""

    def __init__(
        self, share: float = HEDGE_SHARE, floor_per_s: float = HEDGE_FLOOR_PER_S
    ) -> None:
        self._budget = TokenBudget(share, floor_per_s)

    @property
    def tokens(self) -> float:
        """Return the hedges at hand."""
        return self._budget.tokens

    def note_success(self) -> None:
        """Count one request that was answered."""
        self._budget.earn()

    def may_hedge(self, repeatable: bool, deadline: float, now: float) -> bool:
        """Say whether a hedge may be sent, and spend a token if so."""
        if not repeatable or now >= deadline:
            return False
        return self._budget.spend(now)
