"""Admit keyed requests only while the tables are proven to be the newest."""

import random
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import ProofPort
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.request.stages import Routed

MAX_PROOF_WAIT_S = 1.0  # a started or resumed daemon gets its proof within this time
MAX_PROOF_WAIT_SHARE = 0.25  # and at most this share of the time to the deadline
# Callers that were refused together come back spread over this range.
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 1.0


class TablesProofFilter(Filter[Routed, Routed]):
    """Refuses requests that have or need a key while the tables are unproven.

    A request waits for a proof for a short time. It is routed again by ``routing`` if
    newer tables came into force meanwhile.
    """

    def __init__(
        self,
        proof: ProofPort,
        tables: TablesPort,
        routing: Filter[Received, Routed],
        clock: ClockPort,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._proof = proof
        self._tables = tables
        self._routing = routing
        self._clock = clock
        self._draw = draw

    def apply(self, value: Routed) -> Result[Routed, Refusal]:
        """Return the request, or a refusal if it needs a proof and there is none."""
        if self._is_admitted(value):
            return Success(value)
        version = self._tables.current()[:2]
        left_s = value.head.deadline - self._clock.now()
        self._proof.await_proof(min(MAX_PROOF_WAIT_S, MAX_PROOF_WAIT_SHARE * left_s))
        if self._tables.current()[:2] == version:
            return self._admit(value)
        received = Received(value.head, value.body, value.on_caller_left, value.sender)
        return self._routing.apply(received).bind(self._admit)

    def _admit(self, value: Routed) -> Result[Routed, Refusal]:
        return Success(value) if self._is_admitted(value) else Failure(self._refuse())

    def _is_admitted(self, value: Routed) -> bool:
        return not needs_proof(value, self._tables.current()) or self._proof.is_proven()

    def _refuse(self) -> Refusal:
        spread_s = RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S
        return Refusal(
            status=503,
            ran=Ran.NOT_RUN,
            reason=RefusalReason.TABLES_UNPROVEN,
            detail="this daemon cannot prove that its tables are the newest",
            retry_after_s=RETRY_AFTER_MIN_S + spread_s * self._draw(),
        )


def needs_proof(value: Routed, tables: Tables) -> bool:
    """Return whether a request carries an API key, or has to by these tables.

    A key needs a proof also where these tables hold no organisations: newer ones may
    have added it and removed it again.
    """
    if value.head.api_key_digest:
        return True
    may_lack_key = value.route.allow_anonymous or value.head.is_local
    return bool(tables.organisations) and not may_lack_key
