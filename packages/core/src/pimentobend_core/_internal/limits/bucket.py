"""The token bucket of one organisation."""

import math
from collections import deque
from typing import NamedTuple

from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import Terms

# Granted tokens whose validity ends within one slot are counted together until the
# slot's end, so that a bucket keeps at most 100 numbers.
SLOT_S = 0.01
MAX_NEXT_S = 60.0
MIN_NEXT_S = 0.001
MAX_UNKNOWN_S = (
    5.0  # then an organisation whose bucket was never full is over its limit
)
_ROUNDING = 1e-9


class _Granted(NamedTuple):
    expires_at: float
    tokens: int


class TokenBucket:
    """Level of a bucket, and the granted tokens that may still be used.

    Level and granted tokens together never exceed the capacity. ``started_at`` is when
    the owner began to grant, in seconds; the bucket was empty then.
    """

    __slots__ = (
        "limit",
        "refused_at",
        "_first_until",
        "_granted",
        "_known_at",
        "_level",
        "_terms",
        "_updated_at",
        "_valid",
    )

    def __init__(self, limit: Limit, terms: Terms, started_at: float) -> None:
        self.limit = limit
        self.refused_at = -math.inf  # when a token was last refused
        self._terms = terms
        self._level = 0.0
        self._updated_at = started_at
        self._first_until = started_at + terms.valid_s
        self._known_at = started_at + MAX_UNKNOWN_S
        self._granted: deque[_Granted] = deque()
        self._valid = 0  # sum of the granted tokens

    @property
    def terms(self) -> Terms:
        """Return the terms in force."""
        return self._terms

    @property
    def level(self) -> float:
        """Return the tokens that could be granted at the time of the last update."""
        return self._level

    @property
    def is_full(self) -> bool:
        """Return whether a new bucket would not differ from this one."""
        return not self._valid and self._level >= self._terms.capacity

    def is_known(self, now: float) -> bool:
        """Return whether a refused organisation has reached its limit.

        The level that the earlier owner had is lost. Until the bucket has been full, it
        may be lower than one that was not empty at the start.
        """
        return now >= self._known_at

    def change(self, limit: Limit, terms: Terms, now: float) -> None:
        """Change the limit at ``now`` (seconds)."""
        self.update(now)
        self.limit = limit
        self._terms = terms
        self._level = self._capped(self._level, now)

    def update(self, now: float) -> None:
        """Refill until ``now`` (seconds), at the same time as granted tokens expire.

        The cap is applied at each expiry: applied only at the end, it would let the
        level rise by what granted tokens took of the capacity in the meantime.
        """
        if self._updated_at < self._first_until <= now:
            self._refill_to(self._first_until)
        self._refill_to(now)

    def take(self, needed: int, extra: int, now: float) -> int:
        """Take tokens at ``now`` (seconds) and return their number.

        Extra tokens, which may expire unused, never lower the level below the reserve.
        """
        self.update(now)
        count = min(needed, int(self._level + _ROUNDING))
        if count < needed:
            self.refused_at = now
        elif extra and now >= self._first_until:
            spare = self._level - count - self._terms.reserve
            count += max(0, min(extra, int(spare + _ROUNDING)))
        if count:
            self._level = max(0.0, self._level - count)
            self._record(count, now)
        return count

    def next_s(self, now: float) -> float:
        """Return the time in seconds from ``now`` until there is a token."""
        refill = self._terms.refill_per_s
        if not refill:
            return MAX_NEXT_S
        level, valid, at = self._level, self._valid, now
        for granted in self._granted:
            room = self._capacity(at) - valid
            due = at + max(0.0, 1.0 - level) / refill
            if room >= 1.0 and due <= granted.expires_at:
                break
            level = max(
                0.0, min(level + refill * (granted.expires_at - at), max(0.0, room))
            )
            valid -= granted.tokens
            at = granted.expires_at
        due_s = at + max(0.0, 1.0 - level) / refill - now
        if self._terms.first_capacity < 1.0:
            due_s = max(due_s, self._first_until - now)
        return min(MAX_NEXT_S, max(MIN_NEXT_S, due_s))

    def _refill_to(self, now: float) -> None:
        while self._granted and self._granted[0].expires_at <= now:
            granted = self._granted.popleft()
            self._refill(granted.expires_at)
            self._valid -= granted.tokens
        self._refill(now)

    def _refill(self, now: float) -> None:
        if now <= self._updated_at:
            return
        level = self._level + self._terms.refill_per_s * (now - self._updated_at)
        capped = self._capped(level, self._updated_at)
        if capped < level and self._updated_at >= self._first_until:
            self._known_at = min(self._known_at, now)
        self._level = capped
        self._updated_at = now

    def _capped(self, level: float, at: float) -> float:
        return max(0.0, min(level, self._capacity(at) - self._valid))

    def _capacity(self, at: float) -> float:
        if at < self._first_until:
            return min(self._terms.capacity, self._terms.first_capacity)
        return self._terms.capacity

    def _record(self, count: int, now: float) -> None:
        expires_at = math.ceil((now + self._terms.valid_s) / SLOT_S) * SLOT_S
        last = self._granted[-1] if self._granted else None
        # A lowered limit may shorten the validity; tokens stay in order of expiry.
        if last is not None and last.expires_at >= expires_at:
            self._granted[-1] = last._replace(tokens=last.tokens + count)
        else:
            self._granted.append(_Granted(expires_at, count))
        self._valid += count
