"""Grant the tokens of all organisations, at the leader of the configuration log."""

import math
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.limits.bucket import TokenBucket
from pimentobend_core._internal.limits.messages import MAX_TOKENS
from pimentobend_core._internal.limits.messages import DemandReceived
from pimentobend_core._internal.limits.messages import Grant
from pimentobend_core._internal.limits.messages import GrantingChanged
from pimentobend_core._internal.limits.messages import Grants
from pimentobend_core._internal.limits.messages import LeadershipChanged
from pimentobend_core._internal.limits.messages import LeadershipProven
from pimentobend_core._internal.limits.messages import OverLimitChanged
from pimentobend_core._internal.limits.messages import OwnerInput
from pimentobend_core._internal.limits.messages import OwnerOutput
from pimentobend_core._internal.limits.messages import SendGrants
from pimentobend_core._internal.limits.messages import WakeOwner
from pimentobend_core._internal.limits.messages import Want
from pimentobend_core._internal.limits.terms import MAX_VALID_S
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobend_core._internal.limits.terms import find_terms
from pimentobend_core._internal.pipes import StatefulFilter

# Confirmations are requested every 0.25 s, so one of them may be lost. A new leader
# waits as long before its first grant, as its predecessor may grant until then.
CONFIRMED_S = 0.6
SWEEP_S = 5.0  # between two sweeps; an organisation without refusals is not over


class Limits:
    """The limits of the organisations in the tables in force."""

    def __init__(
        self,
        find: Callable[[str], Limit | None],
        version: Callable[[], Version],
    ) -> None:
        self.find = find
        self.version = version


class TokenOwner(StatefulFilter[OwnerInput, OwnerOutput]):
    """Keeps one bucket for each active organisation with a limit.

    It grants only while a majority confirmed recently that this process leads. Time is
    measured by a clock that also runs while the machine is suspended.
    """

    def __init__(self, limits: Limits, settings: LimitSettings) -> None:
        self._limits = limits
        self._settings = settings
        self._elected_at: float | None = None
        self._confirmed_at = -math.inf
        self._is_granting = False
        self._buckets: dict[str, TokenBucket] = {}
        self._over: set[str] = set()
        self._is_sweep_due = False

    def handle(self, message: OwnerInput, now: float) -> tuple[OwnerOutput, ...]:
        """Handle a change of the leader, a confirmation, a demand or a tick."""
        match message:
            case LeadershipChanged():
                self._change_leader(message, now)
            case LeadershipProven():
                self._confirm(message)
            case DemandReceived():
                return self._answer(message, now)
            case _:
                return self._sweep(now)
        return self._report_granting(now)

    def dump(self) -> Mapping[str, object]:
        """Return the owner's state as JSON-compatible values."""
        return {
            "is_granting": self._is_granting,
            "buckets": len(self._buckets),
            "over_limit": sorted(self._over)[:20],
        }

    def _change_leader(self, message: LeadershipChanged, now: float) -> None:
        self._elected_at = now if message.is_own else None
        self._confirmed_at = -math.inf
        self._buckets.clear()
        self._over.clear()

    def _confirm(self, message: LeadershipProven) -> None:
        """Accept a confirmation of this term for the tables in force.

        Older tables may hold limits that have been lowered since.
        """
        if self._elected_at is None or message.asked_at < self._elected_at:
            return
        if self._limits.version() >= message.version:
            self._confirmed_at = max(self._confirmed_at, message.asked_at)

    def _may_grant(self, now: float) -> bool:
        if self._elected_at is None or now < self._elected_at + CONFIRMED_S:
            return False
        return now - self._confirmed_at < CONFIRMED_S

    def _report_granting(self, now: float) -> tuple[OwnerOutput, ...]:
        may_grant = self._may_grant(now)
        if may_grant == self._is_granting:
            return ()
        self._is_granting = may_grant
        return (GrantingChanged(may_grant),)

    def _answer(self, message: DemandReceived, now: float) -> tuple[OwnerOutput, ...]:
        outputs = [*self._report_granting(now)]
        if not self._is_granting:
            return tuple(outputs)
        demand = message.demand
        grants = tuple(self._grant(want, now, outputs) for want in demand.wants)
        outputs.append(SendGrants(message.sender, Grants(demand.number, grants)))
        if self._buckets and not self._is_sweep_due:
            self._is_sweep_due = True
            outputs.append(WakeOwner(SWEEP_S))
        return tuple(outputs)

    def _grant(self, want: Want, now: float, outputs: list[OwnerOutput]) -> Grant:
        name = want.organisation
        limit = self._limits.find(name)
        if limit is None:
            # The limit was removed, or the asker's tables are newer.
            self._buckets.pop(name, None)
            return Grant(name, min(MAX_TOKENS, want.needed), MAX_VALID_S)
        bucket = self._bucket(name, limit, now)
        count = bucket.take(want.needed, want.extra, now)
        valid_s = bucket.terms.valid_s
        if count >= want.needed:
            return Grant(name, count, valid_s)
        is_known = bucket.is_known(now)
        if is_known and name not in self._over:
            self._over.add(name)
            outputs.append(OverLimitChanged(name, is_over=True))
        return Grant(name, count, valid_s, bucket.next_s(now), is_known)

    def _bucket(self, name: str, limit: Limit, now: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            assert self._elected_at is not None
            terms = find_terms(limit, self._settings)
            bucket = TokenBucket(limit, terms, self._elected_at + CONFIRMED_S)
            self._buckets[name] = bucket
        elif bucket.limit != limit:
            bucket.change(limit, find_terms(limit, self._settings), now)
        return bucket

    def _sweep(self, now: float) -> tuple[OwnerOutput, ...]:
        """Drop full buckets; an organisation without a bucket has a full one."""
        outputs = [*self._report_granting(now)]
        self._is_sweep_due = False
        for name, bucket in list(self._buckets.items()):
            bucket.update(now)
            if name in self._over and bucket.refused_at < now - SWEEP_S:
                self._over.discard(name)
                outputs.append(OverLimitChanged(name, is_over=False))
            if bucket.is_full and name not in self._over:
                del self._buckets[name]
        if self._buckets:
            self._is_sweep_due = True
            outputs.append(WakeOwner(SWEEP_S))
        return tuple(outputs)
