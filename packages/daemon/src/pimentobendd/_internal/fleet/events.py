"""Log and count the forwarding decisions and the requests that ended.

The daemon that a caller sends a request to is its origin; a daemon that sends an
attempt of it to a backend server on its own machine is a host.
"""

from typing import Any

from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.log_volume import ORDINARY
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.forwarding.events import AttemptJudged
from pimentobend_core._internal.forwarding.events import AttemptSent
from pimentobend_core._internal.forwarding.events import DeliveryEnded
from pimentobend_core._internal.forwarding.events import DeliveryHeld
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import HostDecided
from pimentobend_core._internal.forwarding.events import RequestBlocked
from pimentobend_core._internal.forwarding.events import TaskFailed
from pimentobend_core._internal.forwarding.messages import AdmitShareChanged
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.traffic.extra_copies import CopyState
from pimentobend_core._internal.traffic.shared_budget import BudgetState

MS_PER_S = 1000
SERVER_ERROR = 500


class ForwardingLog(Outlet[ForwardingEvent]):
    """Logs one line for each forwarding decision."""

    def __init__(self, counters: CounterTable) -> None:
        self._log = get_log()
        self._counters = counters
        self._blocked: set[str] = set()

    def put(self, message: ForwardingEvent) -> None:
        """Log and count one event."""
        match message:
            case AttemptSent():
                self._write_sent(message)
            case AttemptJudged():
                result = message.result
                self._counters.count("attempts", result.kind.value)
                self._counters.time("attempt", result.latency_s)
                self._log.info(
                    "attempt-judged",
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    **_describe_result(result),
                )
            case DeliveryHeld():
                reason = message.held.reason.value
                self._counters.count("held", reason)
                self._log.info(
                    "delivery-held",
                    request_id=message.request_id,
                    pool=message.pool,
                    reason=reason,
                    is_hedge=message.held.is_hedge,
                    **{ORDINARY: message.held.is_hedge},
                )
            case DeliveryEnded():
                self._log.info(
                    "delivery-failed",
                    request_id=message.request_id,
                    route=message.route,
                    pool=message.pool,
                    tables=message.tables,
                    attempts=" ".join(message.attempts),
                )
            case HostDecided():
                self._write_host_event(
                    message.action, message.attempt_id, message.detail
                )
            case AdmitShareChanged():
                self._counters.count("admit_share_changes")
                self._log.info(
                    "admit-share-changed",
                    route=message.route,
                    services=",".join(message.services),
                    share=message.share,
                )
            case CallLost():
                self._counters.count("calls_lost")
                self._log.error(
                    "call-lost",
                    attempt_id=message.attempt_id,
                    server=message.server_id,
                    overdue_s=round(message.overdue_s, 1),
                )
            case TaskFailed():
                self._counters.count("tasks_failed", message.task)
                self._log.error(
                    "task-failed",
                    task=message.task,
                    subject=message.subject,
                    error=message.error,
                )
            case _:
                self._write_crash_event(message)

    def _write_crash_event(
        self,
        message: ServerCrashed
        | FingerprintBlocked
        | FingerprintReleased
        | RequestBlocked,
    ) -> None:
        match message:
            case ServerCrashed():
                self._counters.count("server_crashes")
                self._log.warning(
                    "server-crashed",
                    server=message.server_id,
                    running=",".join(each or "-" for each in message.running),
                )
            case FingerprintBlocked():
                block = message.block
                self._blocked.add(block.fingerprint)
                self._counters.count("blocks", "blocked")
                self._log.warning(
                    "request-blocked",
                    fingerprint=block.fingerprint,
                    weight=block.weight,
                    crashes=block.crashes,
                    observers=block.observers,
                    remaining_s=round(message.remaining_s, 1),
                )
            case FingerprintReleased():
                self._blocked.discard(message.fingerprint)
                self._counters.count("blocks", message.reason.value)
                self._log.info(
                    "request-released",
                    fingerprint=message.fingerprint,
                    reason=message.reason.value,
                )
            case RequestBlocked():
                self._log.info(
                    "request-refused",
                    request_id=message.request_id,
                    fingerprint=message.block.fingerprint,
                    weight=message.block.weight,
                    remaining_s=round(message.remaining_s, 1),
                )
        self._counters.set("blocked_fingerprints", len(self._blocked))

    def _write_sent(self, message: AttemptSent) -> None:
        bid = message.candidate.bid
        self._counters.count("hedges" if message.is_hedge else "sent")
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
            fingerprint=message.fingerprint,
            **{ORDINARY: not message.is_hedge},
        )

    def _write_host_event(
        self,
        action: str,
        attempt_id: str,
        detail: Submit | Declined | DuplicateSubmission | AttemptResult,
    ) -> None:
        values: dict[str, Any] = {}
        match detail:
            case Submit():
                values = {
                    "request_id": detail.request_id,
                    "server": detail.server_id,
                    "route": detail.route,
                    ORDINARY: True,
                }
                self._counters.count("arrivals", _arrival_kind(detail))
                if detail.is_copy:
                    self._counters.count("copies")
            case Declined():
                values = {
                    "reason": detail.reason.value,
                    **_describe_budget(detail.budget),
                }
                self._counters.count("declined", detail.reason.value)
            case AttemptResult():
                values = _describe_result(detail)
            case _:
                self._counters.count("joined")
        self._log.info(action, attempt_id=attempt_id, **values)


class RequestLog(Outlet[RequestEnded]):
    """Logs one line for each request that ended."""

    def __init__(self, counters: CounterTable) -> None:
        self._log = get_log()
        self._counters = counters

    def put(self, message: RequestEnded) -> None:
        """Log and count one event."""
        reason = message.reason.value if message.reason else None
        self._counters.count("requests", str(message.status))
        if reason is not None:
            self._counters.count("refusals", f"{reason} {message.ran.value}")
        self._counters.time("request", message.duration_s)
        self._log.info(
            "request-ended",
            request_id=message.request_id,
            method=message.method,
            path=message.path,
            status=message.status,
            ran=message.ran.value,
            reason=reason,
            server=message.server_id,
            duration_ms=_ms(message.duration_s),
            **{ORDINARY: message.status < SERVER_ERROR},
        )


def _describe_result(result: AttemptResult) -> dict[str, Any]:
    is_answered = result.kind is AttemptKind.ANSWERED
    return {
        "outcome": result.kind.value,
        "status": result.status,
        "latency_ms": _ms(result.latency_s),
        ORDINARY: is_answered and result.status < SERVER_ERROR,
    }


def _arrival_kind(submit: Submit) -> str:
    if submit.is_repeat:
        return "repeat"
    if submit.sender.is_client:
        return "client"
    return "repeated-call" if submit.sender.repeat_share else "call"


def _describe_budget(state: BudgetState | None) -> dict[str, Any]:
    if state is None:
        return {}
    return {
        "first": round(state.first, 1),
        "repeats": round(state.repeats, 1),
        "limit": round(state.limit, 1),
        "servers": state.servers,
        "counted_for_s": round(state.age_s, 1),
        **_describe_copies(state.copies),
    }


def _describe_copies(state: CopyState) -> dict[str, Any]:
    if not state.is_limited:
        return {}
    return {"copies": state.copies, "copies_limit": round(state.limit, 1)}


def _ms(seconds: float) -> float:
    return round(seconds * MS_PER_S, 1)
