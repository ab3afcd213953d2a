"""Allow a bounded number of retries a second."""

from pimentobend_core._internal.request.dispatch import RetryPolicy

RETRIES_PER_S = 10.0


class SteadyRetries(RetryPolicy):
    """Allow retries at a fixed rate, whatever else succeeds."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def may_retry(self, pool: str, now: float) -> bool:
        """Take one retry at ``now`` (seconds)."""
        if now < self._next_at:
            return False
        self._next_at = now + 1 / RETRIES_PER_S
        return True

    def succeeded(self, pool: str, now: float) -> None:
        """Leave the rate as it is."""
