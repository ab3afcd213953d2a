"""Turn an organisation's limit into the terms of its token bucket."""

from typing import NamedTuple

MIN_VALID_S = 0.2  # three round trips between regions
MAX_VALID_S = 0.5  # longer than tokens are kept in stock
DEFAULT_WINDOW_S = 5.0
DEFAULT_OVER = 0.1
# Share of half the tolerance that an organisation's valid tokens take at its limit's
# rate, and the share that covers what comes at once as questions are late: 50 ms by
# default. The rest is for tokens that are asked in advance.
VALID_SHARE = 0.6
LATE_SHARE = 0.2


class LimitSettings(NamedTuple):
    """How far an organisation may exceed its limit.

    In any window, an organisation's requests number at most
    ``(rate_per_s * window_s + burst) * (1 + over) + slack``.
    """

    window_s: float = DEFAULT_WINDOW_S
    over: float = DEFAULT_OVER
    slack: float = 0.0


class Limit(NamedTuple):
    """An organisation's limit: requests per second, and requests beyond them."""

    rate_per_s: float
    burst: float


class Terms(NamedTuple):
    """Terms of a bucket; numbers are in tokens, each of which admits a request."""

    capacity: float  # of the bucket's level and the valid tokens together
    refill_per_s: float
    valid_s: float  # how long a token may be used after the query for it
    # Bound of the level and the granted tokens within a new owner's first validity
    # period, as tokens of its predecessor may still be used then.
    first_capacity: float
    reserve: float  # part of the level that is kept for requests that have arrived


def find_terms(limit: Limit, settings: LimitSettings) -> Terms:
    """Return the terms by which no window holds more requests than is allowed.

    The tokens used in a window number at most the capacity, the first capacity of a
    new owner and the refill of the window. The validity and the reserve are such that
    an organisation which keeps to its limit finds a token, although granted tokens
    count until they expire and some expire unused.
    """
    base = limit.rate_per_s * settings.window_s + limit.burst
    tolerance = base * settings.over + settings.slack
    # A bucket of less than one token would never grant any, which is right only where
    # no window may hold a request.
    may_grant = base + tolerance >= 1.0
    capacity = max(1.0, limit.burst + tolerance / 2) if may_grant else 0.0
    allowed = base + tolerance - capacity - tolerance / 2 if may_grant else 0.0
    return Terms(
        capacity=capacity,
        refill_per_s=max(0.0, min(limit.rate_per_s, allowed / settings.window_s)),
        valid_s=_clamp(VALID_SHARE * tolerance / 2 / limit.rate_per_s),
        first_capacity=tolerance / 2,
        reserve=min(capacity, limit.burst + LATE_SHARE * tolerance / 2),
    )


def _clamp(valid_s: float) -> float:
    return min(MAX_VALID_S, max(MIN_VALID_S, valid_s))
