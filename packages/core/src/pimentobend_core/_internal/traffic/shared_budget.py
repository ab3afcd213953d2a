"""Limit the repeated requests of a whole fleet without coordination.

A repeat is a retry or a hedge. The origin of a request is the daemon that received
it from its caller.
"""

import bisect
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.extra_copies import CopyCount
from pimentobend_core._internal.traffic.extra_copies import CopyState
from pimentobend_core._internal.traffic.retries import TokenBucket
from pimentobend_core._internal.traffic.service_sizes import SizeHistory

# A host takes repeats up to this share of its part of the limit. The rest is for the
# calls that repeated runs make, which cannot be sent elsewhere without cost.
REPEATS_SHARE = 0.7
# Repeats of a server's own calls stop sooner: often several calls have to succeed for
# one run, while a repeat of a client's request serves that client.
CALL_REPEATS_SHARE = 0.45
# Share up to which it takes those calls. Which calls they are is known only on
# average, and the hosts do not count at the same time.
CALLS_SHARE = 0.85
# A host may use its part until the size of the service has changed, and what it used
# counts for one window more.
SIZE_MEMORY_WINDOWS = 2
ORIGIN_SHARE = 0.3  # repeats that one success allows its origin
ORIGIN_FLOOR_PER_S = 0.5  # repeats per second that are allowed without any success
ORIGIN_TOKENS = 10.0  # repeats allowed at the start, and the most that accumulate


class BudgetTerms(NamedTuple):
    """The limit on repeated requests to a service, summed over all daemons."""

    ratio: float  # repeats per first attempt
    window_s: float
    allowance: float  # repeats per window in addition to the ratio
    copies_share: float | None = None  # extra copies per first attempt; None: no limit


class BudgetState(NamedTuple):
    """What a host counts against the limit on the repeats of a service."""

    first: int  # clients' first attempts within the window
    repeats: float  # within the window, with the calls of repeated runs
    limit: float  # this host's part of the service's limit
    servers: int  # number of servers among which the allowance is divided
    age_s: float  # time for which this host has counted
    copies: CopyState = CopyState()

    @property
    def allows_repeat(self) -> bool:
        """Return whether one more repeat may come."""
        return self.repeats + 1 <= REPEATS_SHARE * self.limit

    @property
    def allows_call_repeat(self) -> bool:
        """Return whether one more repeat of a server's call may come."""
        return self.repeats + 1 <= CALL_REPEATS_SHARE * self.limit

    def allows_call(self, repeat_share: float) -> bool:
        """Return whether a call may come that a repeated run probably made."""
        return self.repeats + repeat_share <= CALLS_SHARE * self.limit


class OriginBudget(RetryPolicy):
    """Limit the requests that one daemon repeats, for each pool.

    The limit on all daemons together is enforced by the daemons that the servers
    are registered with, see ``ServiceBudget``.
    """

    def __init__(self, *, limits_copies: bool = False) -> None:
        self._limits_copies = limits_copies
        self._budgets: dict[str, TokenBucket] = {}

    @property
    def limits_copies(self) -> bool:
        """Return whether the operators limit extra copies."""
        return self._limits_copies

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


class ServiceBudget:
    """Limit the repeats that reach one host's servers of a service.

    The host has its part of the service's limit. A client's first attempt counts once
    it is known to have reached a server, from the time of its submission. A repeat
    counts from its submission, while it waits and runs, until a window after its end:
    it reaches its server at some time in between. A call that may be one of a repeated
    run counts as a repeat by its probability. What came here before ``started_at``
    is not known, and so are the parts that other hosts had meanwhile: the allowance
    counts as spent until a window has passed.
    """

    def __init__(self, terms: BudgetTerms, started_at: float) -> None:
        self._terms = terms
        self._started_at = started_at
        self._first: list[float] = []  # times of submission, in order
        self._pending = 0.0  # repeats that wait or run
        # When attempts ended, and the probability that they were repeats.
        self._ended: deque[tuple[float, float]] = deque()
        self._copies = CopyCount(terms.copies_share, terms.window_s)

    @property
    def copies(self) -> CopyCount:
        """Return the count of extra copies."""
        return self._copies

    def note_first(self, submitted_at: float) -> None:
        """Record a client's first attempt that reached a server."""
        bisect.insort(self._first, submitted_at)

    def reserve(self, repeat_share: float) -> None:
        """Record that an attempt was submitted that is a repeat with a probability."""
        self._pending += repeat_share

    def release(self, repeat_share: float) -> None:
        """Record that it was declined and will not reach a server."""
        self._pending -= repeat_share

    def note_ended(self, repeat_share: float, now: float) -> None:
        """Record that it, which may have reached its server, ended at ``now``."""
        self._pending -= repeat_share
        if repeat_share:
            self._ended.append((now, repeat_share))

    def count(self, servers: int, now: float) -> BudgetState:
        """Return the counts at ``now`` (seconds).

        ``servers`` is the number of hosts that divide the service's allowance; 0 if it
        is not known, and then none of it may be used.
        """
        self._drop_expired(now - self._terms.window_s)
        first = len(self._first)
        repeats = self._pending + sum(share for _, share in self._ended)
        age_s = now - self._started_at
        limit = self._terms.ratio * first
        if servers and age_s >= self._terms.window_s:
            limit += self._terms.allowance / servers
        copies = self._copies.count(first, now)
        return BudgetState(first, repeats, limit, servers, age_s, copies)

    def _drop_expired(self, begins_at: float) -> None:
        """Drop what came before the window that begins at ``begins_at``."""
        del self._first[: bisect.bisect_left(self._first, begins_at)]
        while self._ended and self._ended[0][0] < begins_at:
            self._ended.popleft()


class ServiceBudgets:
    """The budgets of a host, one for each service that it has servers of.

    A budget outlives its servers for a window: those that take their place have the
    same part of the limit.
    """

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._sizes = SizeHistory(SIZE_MEMORY_WINDOWS * terms.window_s)
        self._budgets: dict[str, ServiceBudget] = {}
        self._unlisted_at: dict[str, float] = {}

    def of(self, service: str) -> ServiceBudget:
        """Return the budget of a service that ``note_listed`` was called for."""
        return self._budgets[service]

    def count(self, service: str, now: float) -> BudgetState:
        """Return the counts for a service at ``now`` (seconds)."""
        return self._budgets[service].count(self._sizes.largest(service, now), now)

    def update_sizes(self, sizes: Mapping[str, int], now: float) -> None:
        """Replace the number of servers of each service in the fleet."""
        self._sizes.update(sizes, now)

    def note_listed(self, service: str, now: float) -> None:
        """Record that a server of a service is here at ``now`` (seconds)."""
        self.drop_unused(now)
        self._unlisted_at.pop(service, None)
        if service not in self._budgets:
            self._budgets[service] = ServiceBudget(self._terms, now)

    def note_unlisted(self, service: str, now: float) -> None:
        """Record that the last server of a service left at ``now`` (seconds)."""
        self._unlisted_at[service] = now

    def drop_unused(self, now: float) -> None:
        """Delete the budgets of services without a server for a window."""
        for service, at in list(self._unlisted_at.items()):
            if now - at >= self._terms.window_s:
                del self._unlisted_at[service]
                del self._budgets[service]
