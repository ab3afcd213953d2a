"""Repeat attempts while that is safe and within the retry budget."""

import abc

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Attempting
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Judged

MAX_ATTEMPTS = 3
MAX_OFFERS = 8  # of work that every server so far refused unrun
_STRENGTH = (Ran.NOT_RUN, Ran.UNKNOWN, Ran.RAN)


class RetryPolicy(abc.ABC):
    """Decide whether the pool can afford one more attempt."""

    @abc.abstractmethod
    def may_retry(self, pool: str, now: float) -> bool:
        """Take one retry from the pool's budget at ``now`` (seconds)."""

    def may_offer_again(self, pool: str, now: float) -> bool:
        """Take one retry of work that a server refused unrun."""
        return self.may_retry(pool, now)

    @abc.abstractmethod
    def succeeded(self, pool: str, now: float) -> None:
        """Credit the pool's budget with a success at ``now`` (seconds)."""


class DispatchFilter(Filter[Claimed, Finished]):
    """Run the attempt filters until one answer or refusal stands."""

    def __init__(
        self,
        attempt: Filter[Attempting, Judged],
        policy: RetryPolicy,
        clock: ClockPort,
    ) -> None:
        self._attempt = attempt
        self._policy = policy
        self._clock = clock

    def apply(self, value: Claimed) -> Result[Finished, Refusal]:
        """Return the answer, or a refusal that is true of all attempts."""
        tried: tuple[str, ...] = ()
        ran = Ran.NOT_RUN
        while True:
            result = self._attempt.apply(Attempting(value, tried))
            if isinstance(result, Failure):
                return Failure(_merge(result.failure(), ran))
            judged = result.unwrap()
            tried = (*tried, judged.server.server_id)
            if not self._goes_on(value, judged, len(tried)):
                return _outcome(judged, ran, len(tried))
            ran = _stronger(ran, judged.ran)

    def _goes_on(self, value: Claimed, judged: Judged, attempts: int) -> bool:
        now = self._clock.now()
        pool = value.route.pool
        if not judged.may_retry:
            if judged.refusal is None:
                self._policy.succeeded(pool, now)
            return False
        if now >= value.head.deadline:
            return False
        if not self._may_afford(judged.attempted.kind, pool, attempts, now):
            return False
        if judged.attempted.body is not None:
            judged.attempted.body.close()
        return True

    def _may_afford(
        self, kind: AttemptKind, pool: str, attempts: int, now: float
    ) -> bool:
        if kind is AttemptKind.REFUSED:
            may_offer = self._policy.may_offer_again
            return attempts < MAX_OFFERS and may_offer(pool, now)
        return attempts < MAX_ATTEMPTS and self._policy.may_retry(pool, now)


def _outcome(judged: Judged, ran: Ran, attempts: int) -> Result[Finished, Refusal]:
    if judged.refusal is not None:
        return Failure(_merge(judged.refusal, ran))
    return Success(
        Finished(judged.attempted, judged.ran, judged.server.server_id, attempts)
    )


def _merge(refusal: Refusal, earlier: Ran) -> Refusal:
    """Keep a refusal from hiding what an earlier attempt did."""
    ran = _stronger(refusal.ran, earlier)
    if ran is Ran.NOT_RUN:
        return refusal
    return refusal._replace(ran=ran, retry_after_s=None)


def _stronger(first: Ran, second: Ran) -> Ran:
    return max(first, second, key=_STRENGTH.index)
