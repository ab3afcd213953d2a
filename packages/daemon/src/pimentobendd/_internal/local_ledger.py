"""Claim work in the memory of one process."""

import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import Claim
from pimentobend_core._internal.ports import LedgerPort


class LocalLedger(LedgerPort):
    """Hold claims that end with the process."""

    def __init__(self) -> None:
        self._claims: dict[str, Ran | None] = {}

    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Make a claim, or refuse with what is known of the earlier one."""
        key = f"{head.organisation}/{head.idempotency_key}"
        if key not in self._claims:
            self._claims[key] = None
            return Success(Claim(key, uuid.uuid4().hex))
        ran = self._claims[key]
        if ran is None:
            return Failure(
                Refusal(409, Ran.UNKNOWN, RefusalReason.IN_PROGRESS, "in progress")
            )
        return Failure(Refusal(409, ran, RefusalReason.ALREADY_RAN, "already claimed"))

    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Record the outcome; work that did not run may be claimed again."""
        if ran is Ran.NOT_RUN:
            self._claims.pop(claim.key, None)
            return
        self._claims[claim.key] = ran
