"""Map refused claims to refusals of requests."""

from pimentobend_core._internal.ledger.messages import ClaimRefusal
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason

RETRY_AFTER_S = 1
CONFLICT_STATUS = 409
KEY_REUSED_STATUS = 422
UNAVAILABLE_STATUS = 503

NO_MAJORITY = Refusal(
    UNAVAILABLE_STATUS,
    Ran.NOT_RUN,
    RefusalReason.LEDGER,
    "no majority of the ledger's replicas answers; the work was not sent",
    RETRY_AFTER_S,
)

_REFUSALS = {
    ClaimRefusal.IN_PROGRESS: Refusal(
        CONFLICT_STATUS,
        Ran.UNKNOWN,
        RefusalReason.IN_PROGRESS,
        "work with this key is in progress",
        RETRY_AFTER_S,
    ),
    ClaimRefusal.ALREADY_RAN: Refusal(
        CONFLICT_STATUS,
        Ran.RAN,
        RefusalReason.ALREADY_RAN,
        "work with this key ran before",
    ),
    ClaimRefusal.UNKNOWN: Refusal(
        CONFLICT_STATUS,
        Ran.UNKNOWN,
        RefusalReason.LEDGER,
        "work with this key was sent and its outcome was lost; look the key up",
    ),
    ClaimRefusal.KEY_REUSED: Refusal(
        KEY_REUSED_STATUS,
        Ran.NOT_RUN,
        RefusalReason.LEDGER,
        "this key names another request; use a new key",
    ),
    ClaimRefusal.CLAIM_ENDED: Refusal(
        UNAVAILABLE_STATUS,
        Ran.NOT_RUN,
        RefusalReason.LEDGER,
        "the claim ended before its answer came; the work was not sent",
        RETRY_AFTER_S,
    ),
}


def refuse_claim(refused: ClaimRefused) -> Refusal:
    """Return the refusal of the request whose claim was refused."""
    refusal = _REFUSALS[refused.reason]
    if refused.reason is ClaimRefusal.ALREADY_RAN:
        detail = f"{refusal.detail} and was answered with status {refused.status}"
        return refusal._replace(detail=detail)
    return refusal
