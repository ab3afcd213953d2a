"""Retry attempts while that is safe and within the retry budget."""

import abc

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import JudgedAttempt
from pimentobend_core._internal.request.stages import PendingAttempt

MAX_ATTEMPTS = 3
BROKEN_STATUS = 502  # of a request that is blocked after its server crashed
MAX_REFUSED_ATTEMPTS = 8  # the limit after a server refused without running it
# In ascending certainty that a server ran the request.
_BY_CERTAINTY = (Ran.NOT_RUN, Ran.UNKNOWN, Ran.RAN)


class RetryPolicy(abc.ABC):
    """Retry budget of the pools: decides whether one more attempt is allowed."""

    @property
    def limits_copies(self) -> bool:
        """Return whether operators limit extra copies, which are then sent sooner."""
        return False

    @abc.abstractmethod
    def may_retry(self, pool: str, now: float) -> bool:
        """Spend one retry of the pool's budget at ``now`` (seconds) if any is left."""

    def may_retry_refused(self, pool: str, now: float) -> bool:
        """Like ``may_retry``, for a request that a server refused to run."""
        return self.may_retry(pool, now)

    @abc.abstractmethod
    def succeeded(self, pool: str, now: float) -> None:
        """Credit the pool's budget for a success at ``now`` (seconds)."""


class DispatchFilter(Filter[Claimed, Finished]):
    """Runs the attempt filters until an answer or a refusal is final."""

    def __init__(
        self,
        attempt: Filter[PendingAttempt, JudgedAttempt],
        policy: RetryPolicy,
        clock: ClockPort,
    ) -> None:
        self._attempt = attempt
        self._policy = policy
        self._clock = clock

    def apply(self, value: Claimed) -> Result[Finished, Refusal]:
        """Return the answer, or a refusal that says whether any attempt ran."""
        tried: tuple[str, ...] = ()
        ran = Ran.NOT_RUN
        while True:
            result = self._attempt.apply(PendingAttempt(value, tried))
            if isinstance(result, Failure):
                return Failure(_merge_ran(result.failure(), ran))
            judged = result.unwrap()
            tried = (*tried, judged.server.server_id)
            if not self._may_try_again(value, judged, len(tried)):
                return _finish(judged, ran, len(tried))
            ran = _most_certain(ran, judged.ran)

    def _may_try_again(
        self, value: Claimed, judged: JudgedAttempt, attempts: int
    ) -> bool:
        """Return whether to retry; credits or charges the retry budget."""
        now = self._clock.now()
        pool = value.route.pool
        if not judged.may_retry:
            if judged.refusal is None:
                self._policy.succeeded(pool, now)
            return False
        if now >= value.head.deadline:
            return False
        if not self._has_retry_left(judged.result.kind, pool, attempts, now):
            return False
        if judged.result.body is not None:
            judged.result.body.close()
        return True

    def _has_retry_left(
        self, kind: AttemptKind, pool: str, attempts: int, now: float
    ) -> bool:
        if kind is AttemptKind.REFUSED:
            may_offer = self._policy.may_retry_refused
            return attempts < MAX_REFUSED_ATTEMPTS and may_offer(pool, now)
        if kind is AttemptKind.NOT_CONNECTED:
            # The budget bounds what reaches servers, and this attempt reached none.
            return attempts < MAX_ATTEMPTS
        return attempts < MAX_ATTEMPTS and self._policy.may_retry(pool, now)


def _finish(
    judged: JudgedAttempt, ran: Ran, attempts: int
) -> Result[Finished, Refusal]:
    if judged.refusal is not None:
        if judged.result.body is not None:
            judged.result.body.close()
        return Failure(_merge_ran(judged.refusal, ran))
    return Success(
        Finished(judged.result, judged.ran, judged.server.server_id, attempts)
    )


def _merge_ran(refusal: Refusal, earlier: Ran) -> Refusal:
    """Return the refusal with ``ran`` raised to that of the earlier attempts.

    If the request may have run, the refusal must not suggest a retry.
    """
    ran = _most_certain(refusal.ran, earlier)
    if ran is Ran.NOT_RUN:
        return refusal
    if refusal.reason is RefusalReason.CRASHES_SERVERS:
        refusal = refusal._replace(status=BROKEN_STATUS)
    return refusal._replace(ran=ran, retry_after_s=None)


def _most_certain(first: Ran, second: Ran) -> Ran:
    return max(first, second, key=_BY_CERTAINTY.index)
