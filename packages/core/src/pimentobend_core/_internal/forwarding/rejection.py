"""Decide when a request is rejected unsent, and when its caller should return.

The decisions answer demand beyond what the servers of a service can run, and
services whose servers all fail: a request that cannot be served is rejected at once,
so that its caller still has time to return.
"""

import zlib

from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason

# Even a short answer of a route takes about this share of the 90th percentile.
MIN_TIME_SHARE = 0.5
# Nearly all answers of a route but some of its stragglers take less than this multiple
# of the 90th percentile.
OUTLAST_MULTIPLE = 3.0
GUESS_MULTIPLE = 6.0  # in place of it where the percentile is a guess
# A server with a higher risk probably loses what it is sent.
UNSAFE_RISK_LIMIT = 0.8
# Half of the queue has been served by then, or its deadlines have passed.
QUEUE_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0
# The caller needs most of its remaining time for the next attempt.
MAX_REMAINING_SHARE = 0.2
_MAX_CHECKSUM = 0xFFFFFFFF


def is_hopeless(bid: Bid, remaining_s: float) -> bool:
    """Return whether hardly any answer would come within ``remaining_s`` seconds."""
    return bid.wait_s + MIN_TIME_SHARE * bid.p90_s >= remaining_s


def is_unservable(bid: Bid, remaining_s: float, *, is_repeatable: bool) -> bool:
    """Return whether the server of the best bid would lose the request or end it late.

    One that may be repeated is sent to a failing server all the same.
    """
    is_unsafe = not is_repeatable and bid.risk >= UNSAFE_RISK_LIMIT
    return is_unsafe or is_hopeless(bid, remaining_s)


def would_outlast(bid: Bid, remaining_s: float) -> bool:
    """Return whether more than a few answers in a hundred would miss ``remaining_s``.

    One answer in ten takes longer than the 90th percentile, and stragglers several
    times as long; so may all answers of a route that the server has not run yet.
    """
    multiple = OUTLAST_MULTIPLE if bid.is_known else GUESS_MULTIPLE
    return bid.wait_s + multiple * bid.p90_s >= remaining_s


def must_reject(
    bid: Bid, remaining_s: float, finish_in_s: float, *, is_repeatable: bool
) -> bool:
    """Return whether the request of the best bid cannot be served.

    ``remaining_s`` is the time to its deadline, ``finish_in_s`` the time to the end of
    this process.
    """
    return would_outlast(bid, finish_in_s) or is_unservable(
        bid, remaining_s, is_repeatable=is_repeatable
    )


def make_refusal(
    ran: Ran, reason: RefusalReason, detail: str, pause_s: float
) -> Refusal:
    """Return the refusal of a request; only one that did not run may come back."""
    if ran is Ran.NOT_RUN:
        return Refusal(503, ran, reason, detail, pause_s)
    status = 504 if reason is RefusalReason.DEADLINE else 502
    return Refusal(status, ran, reason, detail)


def make_blocked_refusal(ran: Ran, blocked_s: float) -> Refusal:
    """Return the refusal of a request that crashes servers, for a time in seconds."""
    detail = "the request crashed servers"
    return make_refusal(ran, RefusalReason.CRASHES_SERVERS, detail, blocked_s)


def retry_after_s(request_id: str, wait_s: float, remaining_s: float) -> float:
    """Return after how many seconds the caller should try again.

    The delay grows with the wait that the best server stated, and leaves the caller
    most of its time. It depends on the request id, so that callers that are rejected
    together return spread out.
    """
    limit_s = min(MAX_RETRY_AFTER_S, MAX_REMAINING_SHARE * remaining_s)
    mean_s = min(max(MIN_RETRY_AFTER_S, QUEUE_SHARE * wait_s), limit_s)
    share = zlib.crc32(request_id.encode()) / _MAX_CHECKSUM
    return round(max(0.0, mean_s) * (0.5 + share), 2)
