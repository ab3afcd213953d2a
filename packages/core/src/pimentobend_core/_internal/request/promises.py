"""Decide who may promise a caller that its request did not run.

Some statuses promise that a request has not run and never will, so that the caller may
send it again. Two know that: the daemon, of a request that it sent to no server, and a
server that states it, whose answer then counts as a refusal of the attempt and not as
an answer. An answer with such a status and without the statement promises what nobody
has said.
"""

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason

PROMISING_STATUSES = frozenset({408, 421, 429, 503})
WITHHELD_STATUS = 502  # promises nothing


def withhold_promise(status: int, *, is_repeatable: bool) -> Refusal | None:
    """Return what a caller gets in place of a server's answer; None to pass it on.

    A request that may be repeated loses nothing by the promise.
    """
    if is_repeatable or status not in PROMISING_STATUSES:
        return None
    detail = f"the server answered {status} but did not state that it ran nothing"
    return Refusal(WITHHELD_STATUS, Ran.UNKNOWN, RefusalReason.BACKEND, detail)
