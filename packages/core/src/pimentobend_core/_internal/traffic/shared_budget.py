"""Limit the repeated requests of a whole fleet without coordination.

A repeat is a retry or a hedge. The origin of a request is the daemon that received
it from its caller.
"""

from collections import deque
from typing import NamedTuple

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.retries import TokenBucket

# Servers take repeats up to this share of the limit, as a repeat can cause up to two
# calls.
USED_SHARE = 0.5
ORIGIN_SHARE = 0.3  # repeats that one success allows its origin
ORIGIN_FLOOR_PER_S = 0.5  # repeats per second that are allowed without any success
ORIGIN_TOKENS = 10.0  # repeats allowed at the start, and the most that accumulate


class BudgetTerms(NamedTuple):
    """The limit on repeated requests to a service, summed over all daemons."""

    ratio: float  # repeats per first attempt
    window_s: float
    allowance: float  # repeats per window in addition to the ratio


class BudgetState(NamedTuple):
    """What a host counts against the limit on the repeats of a service."""

    first: float  # first attempts within the window
    repeats: float  # within the window
    limit: float  # part of the service's limit that this host may use
    servers: int  # number of servers among which the allowance is divided
    age_s: float  # time for which this host has counted


class OriginBudget(RetryPolicy):
    """Limit the requests that one daemon repeats, for each pool.

    The limit on all daemons together is enforced by the daemons that the servers
    are registered with, see ``ServerBudget``.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, TokenBucket] = {}

    def may_retry(self, pool: str, now: float) -> bool:
        """Return whether a repeat is allowed at ``now``, and spend a token if so."""
        return self._budget(pool).spend(now)

    def succeeded(self, pool: str, now: float) -> None:
        """Add the tokens for one success to the pool's budget."""
        self._budget(pool).credit()

    def _budget(self, pool: str) -> TokenBucket:
        if pool not in self._budgets:
            budget = TokenBucket(ORIGIN_SHARE, ORIGIN_FLOOR_PER_S, ORIGIN_TOKENS)
            budget.credit(ORIGIN_TOKENS)
            self._budgets[pool] = budget
        return self._budgets[pool]


class ServerBudget:
    """Limit the repeats that arrive at one server to its part of the service's limit.

    Counts the first attempts and repeats that arrived within the last window.
    """

    def __init__(self, terms: BudgetTerms, now: float = 0.0) -> None:
        self._terms = terms
        self._started_at = now
        self._arrivals: deque[tuple[float, bool]] = deque()
        self._repeats = 0

    def note(self, now: float, *, is_repeat: bool) -> None:
        """Record an arrival at ``now`` (seconds)."""
        self._arrivals.append((now, is_repeat))
        self._repeats += is_repeat

    def allows(self, servers: int, now: float) -> bool:
        """Return whether this server, one of ``servers``, may take one more repeat."""
        state = self.describe(servers, now)
        return state.repeats + 1 <= state.limit

    def describe(self, servers: int, now: float) -> BudgetState:
        """Return the counts at ``now`` (seconds) of one of ``servers`` servers."""
        self._drop_expired(now)
        first = len(self._arrivals) - self._repeats
        limit = self._terms.ratio * first + self._terms.allowance / max(1, servers)
        age_s = now - self._started_at
        return BudgetState(first, self._repeats, USED_SHARE * limit, servers, age_s)

    def _drop_expired(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0][0] > self._terms.window_s:
            _, is_repeat = self._arrivals.popleft()
            self._repeats -= is_repeat
