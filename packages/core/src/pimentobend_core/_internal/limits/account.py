"""What a control instance knows of one organisation's tokens."""

import math
from collections import deque
from typing import NamedTuple

from pimentobend_core._internal.limits.messages import Want

# Below this rate, an expected request is as likely to come after the tokens that were
# granted for it have expired.
MIN_STOCK_RATE_PER_S = 3.0
STOCK_S = 0.3  # of expected requests; tokens for them are asked in advance
RATE_TIME_S = 1.0  # time constant of the average rate


class Waiting(NamedTuple):
    """A daemon's question without an answer; the time is in seconds."""

    sender: str
    token: int
    received_at: float


class _Lot(NamedTuple):
    expires_at: float
    tokens: int


class TokenAccount:
    """The valid tokens of an organisation, and the questions that wait for one."""

    __slots__ = (
        "extra",
        "is_over_known",
        "needed",
        "over_until",
        "waiting",
        "_lots",
        "_rate",
        "_seen_at",
    )

    def __init__(self) -> None:
        # Tokens that the leader was asked for and did not answer yet, as in ``Want``.
        self.needed = 0
        self.extra = 0
        self.over_until = -math.inf  # until then, the leader has no token
        self.is_over_known = True  # whether the limit is reached, as in ``Grant``
        self.waiting: deque[Waiting] = deque()
        self._lots: deque[_Lot] = deque()
        self._rate = 0.0  # questions per second when the last one came
        self._seen_at = -math.inf

    @property
    def seen_at(self) -> float:
        """Return when the last question came, in seconds."""
        return self._seen_at

    def note_question(self, now: float) -> None:
        """Count a question in the average rate at ``now`` (seconds)."""
        self._rate = self._rate_at(now) + 1 / RATE_TIME_S
        self._seen_at = now

    def add(self, count: int, expires_at: float) -> None:
        """Add tokens that may be used until ``expires_at`` (seconds)."""
        self._lots.append(_Lot(expires_at, count))

    def take(self, now: float) -> float | None:
        """Take one token and return when it expires; None without a valid one."""
        self._drop_expired(now)
        if not self._lots:
            return None
        lot = self._lots[0]
        if lot.tokens > 1:
            self._lots[0] = lot._replace(tokens=lot.tokens - 1)
        else:
            self._lots.popleft()
        return lot.expires_at

    def stock(self, now: float) -> int:
        """Return the number of valid tokens."""
        self._drop_expired(now)
        return sum(lot.tokens for lot in self._lots)

    def lacks(self, name: str, now: float) -> Want | None:
        """Return the tokens to ask the leader for, if any."""
        # Extra tokens are not counted on, as the leader grants them only to spare.
        needed = max(0, len(self.waiting) - self.needed)
        extra = 0
        rate = self._rate_at(now)
        if rate > MIN_STOCK_RATE_PER_S and now >= self.over_until:
            target = int(rate * STOCK_S)
            spare = (
                self.stock(now) + max(0, self.needed - len(self.waiting)) + self.extra
            )
            if needed or 2 * spare < target:
                extra = max(0, target - spare)
        return Want(name, needed, extra) if needed or extra else None

    def _rate_at(self, now: float) -> float:
        return self._rate * math.exp(-(now - self._seen_at) / RATE_TIME_S)

    def _drop_expired(self, now: float) -> None:
        while self._lots and self._lots[0].expires_at <= now:
            self._lots.popleft()
