"""Refuse the requests by which an organisation exceeds its limit."""

import math

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import LimitsPort
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.stages import Routed

MAX_WAIT_S = 1.0
MAX_WAIT_SHARE = 0.25  # and at most this share of the time to the request's deadline


class LimitFilter(Filter[Routed, Routed]):
    """Admits a request of an organisation with a limit if it gets a token.

    Requests without an organisation, which are anonymous or from backend servers, and
    those of organisations without a limit pass at once.
    """

    def __init__(
        self, tables: TablesPort, limits: LimitsPort, clock: ClockPort
    ) -> None:
        self._tables = tables
        self._limits = limits
        self._clock = clock

    def apply(self, value: Routed) -> Result[Routed, Refusal]:
        """Return the request, or a refusal if no token admits it."""
        name = value.organisation
        if not name or self._tables.find_limit(name) is None:
            return Success(value)
        left_s = value.head.deadline - self._clock.now()
        timeout_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * left_s)
        permission = self._limits.acquire(name, timeout_s)
        if permission.verdict is Verdict.GRANTED:
            return Success(value)
        retry_after_s = math.ceil(permission.retry_after_s * 100) / 100
        if permission.verdict is Verdict.OVER_LIMIT:
            return Failure(_refuse_over(retry_after_s))
        return Failure(_refuse_unknown(retry_after_s))


def _refuse_over(retry_after_s: float) -> Refusal:
    return Refusal(
        status=429,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.OVER_LIMIT,
        detail="the organisation has reached its limit",
        retry_after_s=retry_after_s,
    )


def _refuse_unknown(retry_after_s: float) -> Refusal:
    return Refusal(
        status=503,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.LIMIT_UNKNOWN,
        detail="no control instance told in time whether the organisation's limit"
        " is reached",
        retry_after_s=retry_after_s,
    )
