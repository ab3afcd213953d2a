"""Write the decisions on requests to the log."""

from typing import Any

from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.forwarding.events import AttemptJudged
from pimentobend_core._internal.forwarding.events import AttemptSent
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.ports import Attempted

MS_PER_S = 1000


class ForwardingLog(Outlet[ForwardingEvent]):
    """Write a line for each decision on an attempt."""

    def __init__(self) -> None:
        self._log = get_log()

    def put(self, message: ForwardingEvent) -> None:
        """Write one event."""
        match message:
            case AttemptSent():
                bid = message.candidate.bid
                self._log.info(
                    "attempt-sent",
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    server=bid.server_id,
                    peer=message.candidate.peer.address,
                    distance=message.candidate.distance.name.lower(),
                    risk=bid.risk,
                    free_slots=bid.free_slots,
                    wait_ms=_ms(bid.wait_s),
                    bid_age_ms=_ms(message.bid_age_s),
                    is_hedge=message.is_hedge,
                )
            case AttemptJudged():
                self._log.info(
                    "attempt-judged",
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    **_describe(message.attempted),
                )
            case _:
                self._write_host(message.action, message.attempt_id, message.detail)

    def _write_host(self, action: str, attempt_id: str, detail: object) -> None:
        values: dict[str, Any] = {}
        if isinstance(detail, Submit):
            values = {"server": detail.server_id, "route": detail.route}
        elif isinstance(detail, Declined):
            values = {"reason": detail.reason.value}
        elif isinstance(detail, Attempted):
            values = _describe(detail)
        self._log.info(action, attempt_id=attempt_id, **values)


class RequestLog(Outlet[RequestEnded]):
    """Write a line for each request that ended."""

    def __init__(self) -> None:
        self._log = get_log()

    def put(self, message: RequestEnded) -> None:
        """Write one event."""
        self._log.info(
            "request-ended",
            request_id=message.request_id,
            method=message.method,
            path=message.path,
            status=message.status,
            ran=message.ran.value,
            reason=message.reason.value if message.reason else None,
            server=message.server_id,
            duration_ms=_ms(message.duration_s),
        )


def _describe(attempted: Attempted) -> dict[str, Any]:
    return {
        "outcome": attempted.kind.value,
        "status": attempted.status,
        "latency_ms": _ms(attempted.latency_s),
    }


def _ms(seconds: float) -> float:
    return round(seconds * MS_PER_S, 1)
