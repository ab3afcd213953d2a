"""Judge whether the work of an ended attempt ran."""

from typing import NamedTuple

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.stages import Judged
from pimentobend_core._internal.request.stages import Tried

RETRY_AFTER_S = 1
SERVER_ERROR = 500
NEVER_CURED_BY_RETRY = frozenset({501, 505})  # HTTP statuses


class _Verdict(NamedTuple):
    status: int
    ran: Ran
    detail: str


_VERDICTS = {
    AttemptKind.REFUSED: _Verdict(
        503, Ran.NOT_RUN, "the backend server refused the work"
    ),
    AttemptKind.NOT_CONNECTED: _Verdict(
        502, Ran.NOT_RUN, "no connection to the backend server"
    ),
    AttemptKind.NO_ANSWER: _Verdict(
        504, Ran.UNKNOWN, "the backend server gave no answer"
    ),
    AttemptKind.TRUNCATED: _Verdict(
        502, Ran.UNKNOWN, "the backend server's answer broke off"
    ),
    AttemptKind.CANCELLED: _Verdict(499, Ran.UNKNOWN, "the caller went away"),
}


class JudgementFilter(Filter[Tried, Judged]):
    """Tell answers from refusals, and repeats that are safe from others."""

    def apply(self, value: Tried) -> Result[Judged, Refusal]:
        """Return the attempt with its verdict; it is never a refusal."""
        if value.attempted.kind is AttemptKind.ANSWERED:
            return Success(_judge_answer(value))
        verdict = _VERDICTS[value.attempted.kind]
        refusal = Refusal(
            status=verdict.status,
            ran=verdict.ran,
            reason=_reason(value.attempted.kind),
            detail=f"{verdict.detail} ({value.server.server_id})",
            retry_after_s=RETRY_AFTER_S if verdict.ran is Ran.NOT_RUN else None,
        )
        is_harmless = verdict.ran is Ran.NOT_RUN or value.request.route.repeatable
        return Success(
            Judged(
                server=value.server,
                attempted=value.attempted,
                ran=verdict.ran,
                refusal=refusal,
                may_retry=is_harmless and _can_send_again(value),
            )
        )


def _reason(kind: AttemptKind) -> RefusalReason:
    if kind is AttemptKind.TRUNCATED:
        return RefusalReason.TRUNCATED
    return RefusalReason.BACKEND


def _judge_answer(value: Tried) -> Judged:
    status = value.attempted.status
    is_failure = status >= SERVER_ERROR and status not in NEVER_CURED_BY_RETRY
    return Judged(
        server=value.server,
        attempted=value.attempted,
        ran=Ran.RAN,
        refusal=None,
        may_retry=is_failure
        and value.request.route.repeatable
        and _can_send_again(value),
    )


def _can_send_again(value: Tried) -> bool:
    request: Claimed = value.request
    if value.attempted.kind is AttemptKind.NOT_CONNECTED:
        return True
    return request.body.can_replay
