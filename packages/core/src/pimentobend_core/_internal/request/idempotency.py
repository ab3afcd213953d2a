"""Claim the idempotency key of a non-repeatable request before it is sent."""

from returns.result import Failure
from returns.result import Result

from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import Claim
from pimentobend_core._internal.ports import LedgerPort
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Routed


def _make_claimed(value: Routed, claim: Claim | None) -> Claimed:
    return Claimed(value.head, value.body, value.route, claim, value.fingerprint)


class IdempotencyFilter(Filter[Routed, Finished]):
    """Claims the idempotency key, runs the inner filters and settles the claim."""

    def __init__(self, ledger: LedgerPort, inner: Filter[Claimed, Finished]) -> None:
        self._ledger = ledger
        self._inner = inner

    def apply(self, value: Routed) -> Result[Finished, Refusal]:
        """Run the inner filters; claim the key of a request that is not repeatable."""
        if value.route.repeatable or value.head.idempotency_key is None:
            return self._inner.apply(_make_claimed(value, None))
        claimed = self._ledger.claim(value.head)
        if not isinstance(claimed, Failure):
            return self._run(value, claimed.unwrap())
        return Failure(claimed.failure())

    def _run(self, value: Routed, claim: Claim) -> Result[Finished, Refusal]:
        result = self._inner.apply(_make_claimed(value, claim))
        self._settle(claim, result)
        return result

    def _settle(self, claim: Claim, result: Result[Finished, Refusal]) -> None:
        if isinstance(result, Failure):
            refusal = result.failure()
            self._ledger.settle(claim, refusal.ran, refusal.status)
            return
        finished = result.unwrap()
        self._ledger.settle(claim, finished.ran, finished.result.status)
