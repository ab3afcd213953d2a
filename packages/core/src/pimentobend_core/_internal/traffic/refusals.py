"""Refusals of requests that were not sent to any server of a pool."""

import math
import random

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason

RETRY_AFTER_LIMIT_S = 30
STATUS_OVER_SHARE = 429
STATUS_UNAVAILABLE = 503

DETAILS = {
    RefusalReason.QUEUE_FULL: "the pool's queue is full",
    RefusalReason.FAIR_SHARE: "the organisation uses more than its share",
    RefusalReason.DEADLINE: "the pool cannot answer before the deadline",
    RefusalReason.NO_SERVER: "the pool has no usable backend server",
}


class Refusals:
    """Build refusals with a random Retry-After, so callers do not retry together."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def build(self, reason: RefusalReason, wait_s: float) -> Refusal:
        """Return a refusal; ``wait_s`` is the expected wait in seconds.

        Retry-After is random, from 1 s to 1 s more than the wait, at most 30 s.
        """
        range_s = min(RETRY_AFTER_LIMIT_S, 1 + math.ceil(max(0.0, wait_s)))
        is_over_share = reason is RefusalReason.FAIR_SHARE
        return Refusal(
            status=STATUS_OVER_SHARE if is_over_share else STATUS_UNAVAILABLE,
            ran=Ran.NOT_RUN,
            reason=reason,
            detail=DETAILS[reason],
            retry_after_s=1 + self._rng.randrange(range_s),
        )
