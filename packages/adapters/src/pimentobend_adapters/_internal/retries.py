"""Let retries wait for the budget that other requests earn."""

from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.event

from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.traffic.policy import BudgetedRetries

EARN_WAIT_S = 0.25  # a few answers of the pool's other servers come within this time


class WaitingRetries(BudgetedRetries):
    """Budget that a retry waits for while there is no minimum rate yet.

    A process starts without tokens, and until the instances are counted only successes
    add some. The first request that fails would be refused its retry, though the
    successes that pay for it are under way.
    """

    def __init__(self, clock: ClockPort) -> None:
        super().__init__()
        self._clock = clock
        self._successes: dict[str, Any] = {}  # eventlet events by pool

    def may_retry(self, pool: str, now: float) -> bool:
        """Return whether a retry is allowed, now or after the next successes."""
        return self._spend(super().may_retry, pool, now)

    def may_retry_refused(self, pool: str, now: float) -> bool:
        """Like ``may_retry``, at a lower cost, for a request that a server refused."""
        return self._spend(super().may_retry_refused, pool, now)

    def succeeded(self, pool: str, now: float) -> None:
        """Add the tokens for one success, and wake the retries that wait for them."""
        super().succeeded(pool, now)
        success = self._successes.pop(pool, None)
        if success is not None:
            success.send(None)

    def _spend(
        self, spend: Callable[[str, float], bool], pool: str, now: float
    ) -> bool:
        ends_at = now + EARN_WAIT_S
        while not spend(pool, now):
            if self.has_minimum_rate or now >= ends_at:
                return False
            self._wait_for_success(pool, ends_at - now)
            now = self._clock.now()
        return True

    def _wait_for_success(self, pool: str, timeout_s: float) -> None:
        success = self._successes.setdefault(pool, eventlet.event.Event())
        with eventlet.Timeout(timeout_s, False):
            success.wait()
