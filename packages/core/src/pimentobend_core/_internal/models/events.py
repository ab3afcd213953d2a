"""Events that are reported to logs and metrics."""

from typing import NamedTuple

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason


class RequestEnded(NamedTuple):
    """A request that was answered or refused."""

    request_id: str
    organisation: str
    method: str
    path: str
    status: int
    ran: Ran
    reason: RefusalReason | None
    server_id: str
    duration_s: float
