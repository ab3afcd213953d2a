"""Refuse requests whose deadline has passed."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Received

RETRY_AFTER_S = 1


class DeadlineFilter(Filter[Received, Received]):
    """Refuses requests whose deadline has passed and passes on the others."""

    def __init__(self, clock: ClockPort) -> None:
        self._clock = clock

    def apply(self, value: Received) -> Result[Received, Refusal]:
        """Return the request, or a refusal if its deadline has passed."""
        if self._clock.now() < value.head.deadline:
            return Success(value)
        return Failure(deadline_refusal())


def deadline_refusal() -> Refusal:
    """Return the refusal of a request that was not sent before its deadline."""
    return Refusal(
        status=504,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.DEADLINE,
        detail="the deadline passed before the request was sent",
        retry_after_s=RETRY_AFTER_S,
    )
