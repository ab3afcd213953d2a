"""Determine whether an ended attempt ran, and whether it may be retried."""

from typing import NamedTuple

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.promises import withhold_promise
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.stages import EndedAttempt
from pimentobend_core._internal.request.stages import JudgedAttempt

RETRY_AFTER_S = 1
SERVER_ERROR = 500
PERMANENT_ERRORS = frozenset({501, 505})  # HTTP statuses that a retry does not change


class _Verdict(NamedTuple):
    """The refusal that the caller gets for an attempt without an answer."""

    status: int
    ran: Ran
    detail: str


_VERDICTS = {
    AttemptKind.REFUSED: _Verdict(
        503, Ran.NOT_RUN, "the backend server refused the request"
    ),
    AttemptKind.NOT_CONNECTED: _Verdict(
        502, Ran.NOT_RUN, "no connection to the backend server"
    ),
    AttemptKind.NO_ANSWER: _Verdict(
        504, Ran.UNKNOWN, "the backend server did not answer"
    ),
    AttemptKind.TRUNCATED: _Verdict(
        502, Ran.UNKNOWN, "the backend server's answer was truncated"
    ),
    AttemptKind.CANCELLED: _Verdict(
        499, Ran.UNKNOWN, "the caller closed its connection"
    ),
}


class JudgementFilter(Filter[EndedAttempt, JudgedAttempt]):
    """Turns attempts without an answer into refusals and marks those safe to retry."""

    def apply(self, value: EndedAttempt) -> Result[JudgedAttempt, Refusal]:
        """Return the attempt with its verdict; this filter never refuses."""
        if value.result.kind is AttemptKind.ANSWERED:
            return Success(_judge_answer(value))
        verdict = _VERDICTS[value.result.kind]
        refusal = Refusal(
            status=verdict.status,
            ran=verdict.ran,
            reason=_reason(value.result.kind),
            detail=f"{verdict.detail} ({value.server.server_id})",
            retry_after_s=RETRY_AFTER_S if verdict.ran is Ran.NOT_RUN else None,
        )
        is_safe = verdict.ran is Ran.NOT_RUN or value.request.route.repeatable
        return Success(
            JudgedAttempt(
                server=value.server,
                result=value.result,
                ran=verdict.ran,
                refusal=refusal,
                may_retry=is_safe and _can_resend(value),
            )
        )


def _reason(kind: AttemptKind) -> RefusalReason:
    if kind is AttemptKind.TRUNCATED:
        return RefusalReason.TRUNCATED
    return RefusalReason.BACKEND


def _judge_answer(value: EndedAttempt) -> JudgedAttempt:
    status = value.result.status
    is_repeatable = value.request.route.repeatable
    withheld = withhold_promise(status, is_repeatable=is_repeatable)
    is_failure = status >= SERVER_ERROR and status not in PERMANENT_ERRORS
    return JudgedAttempt(
        server=value.server,
        result=value.result,
        ran=Ran.RAN if withheld is None else withheld.ran,
        refusal=withheld,
        may_retry=is_failure and is_repeatable and _can_resend(value),
    )


def _can_resend(value: EndedAttempt) -> bool:
    request: Claimed = value.request
    if value.result.kind is AttemptKind.NOT_CONNECTED:
        return True  # no byte of the request was sent
    return request.body.can_replay
