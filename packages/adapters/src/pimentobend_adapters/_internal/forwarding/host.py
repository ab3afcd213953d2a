"""Run the attempts for the backend servers on this machine.

The host is the part of a daemon that queues and runs attempts for local servers,
which are those on its machine.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event
import greenlet as greenlet_module

from pimentobend_adapters._internal.answering import describe_error
from pimentobend_adapters._internal.answering import spawn_answering
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import StreamedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.blocks import BlocksInForce
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.kept_answers import KeptAnswers
from pimentobend_adapters._internal.forwarding.senders import LocalSenders
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.memory import Reservation
from pimentobend_adapters._internal.memory import ServerMemory
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import HostDecided
from pimentobend_core._internal.forwarding.events import TaskFailed
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import AdmitShareChanged
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallJudged
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import CallNote
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import LocalRequestFailed
from pimentobend_core._internal.forwarding.messages import ProbeServer
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerProbed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StartDraining
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.promises import withhold_promise
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

TICK_S = 0.1
# An origin that lost its connection can request the answer again for this long.
ANSWER_KEEP_S = 10.0
SERVER_ERROR = 500

_END_KINDS = {
    AttemptKind.REFUSED: EndKind.REFUSED,
    AttemptKind.NOT_CONNECTED: EndKind.UNREACHABLE,
    AttemptKind.CANCELLED: EndKind.GIVEN_UP,
}


_NO_BODY = BufferedBody(b"")
_NO_ROOM = (("reason", RefusalReason.NO_MEMORY.value),)
_CrashOutput = ProbeServer | CallJudged | ServerCrashed | CrashOutput


class LocalAttempt(NamedTuple):
    """An attempt with the request head and body to send to its server."""

    submit: Submit
    head: RequestHead
    body: Body


class _AttemptRecord:
    """An attempt, its result, and how many calls of ``run`` wait for the result."""

    def __init__(self, attempt: LocalAttempt, sent: Reservation) -> None:
        self.attempt = attempt
        self.sent = sent  # until the attempt has ended
        self.result: Any = eventlet.event.Event()
        # The result of a broken call, until it is known whether its server crashed.
        self.unjudged: AttemptResult | None = None
        self.greenlet: Any = None
        self.waiters = 0
        self.ended_at: float | None = None


def _ignore(reports: tuple[CrashReport, ...]) -> None:
    pass


class HostOptions(NamedTuple):
    """Parts of a host that a deployment may use."""

    memory: MemoryOwner | None = None  # None without a limit on memory
    # Whether requests are admitted by the room of the services that their runs call.
    admits_by_calls: bool = False


class HostTasks:
    """Run attempts on local servers and keep their results for repeated requests."""

    def __init__(
        self,
        process_id: int,
        terms: BudgetTerms,
        calls: ServerCalls,
        clock: ClockPort,
        events: Outlet[ForwardingEvent],
        on_reports_changed: Callable[[tuple[CrashReport, ...]], None] = _ignore,
        options: HostOptions | None = None,
    ) -> None:
        options = options or HostOptions()
        self._memory = options.memory or MemoryOwner()
        self._memory.drop_with(self._drop_oldest)
        self._server_memory = ServerMemory(self._memory.terms.server_bytes)
        self._calls = calls
        self._clock = clock
        self._events = events
        self._on_reports_changed = on_reports_changed
        self.blocks = BlocksInForce(clock, events)
        self.senders = LocalSenders(clock)
        self._records: dict[str, _AttemptRecord] = {}
        self._kept = KeptAnswers()
        self._askers: dict[int, Callable[[Bids], None]] = {}  # by token
        self._task: FilterTask[HostInput, HostOutput] = FilterTask(
            "host",
            ServerHost(process_id, terms, admits_by_calls=options.admits_by_calls),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, HostTick()),
        )

    @property
    def running(self) -> int:
        """Return the number of attempts without a result."""
        return sum(1 for record in self._records.values() if record.ended_at is None)

    def start(self) -> None:
        """Start the task."""
        self._task.start()
        eventlet.spawn_n(self._expire)

    def start_draining(self, finish_by: float) -> None:
        """Decline further attempts, and queued ones that would end too late."""
        self._task.put(StartDraining(finish_by))

    def give_up(self) -> None:
        """End the running attempts without an answer, as the process is ending.

        Their origins learn it now, and not once another process has started here.
        """
        lost = make_attempt_result(AttemptKind.NO_ANSWER, 0.0)
        for attempt_id, record in tuple(self._records.items()):
            if record.greenlet is not None:
                self._finish(attempt_id, lost)

    def update_service_sizes(self, sizes: ServiceSizes) -> None:
        """Update the number of servers of each service."""
        self._task.put(sizes)

    def note_failed_request(self) -> None:
        """Record that a request of a client on this machine failed."""
        self._task.put(LocalRequestFailed())

    def note_call(self, message: CallNote) -> None:
        """Record a call of a local server, or what room the called service has."""
        self._task.put(message)

    def receive_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Take over what another daemon holds against requests."""
        self._task.put(ReportsReceived(reports))

    def restore_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Take over what this daemon published before it restarted."""
        self._task.put(EarlierReportsSeen(reports))

    def dump(self) -> Mapping[str, object]:
        """Return the state of the task."""
        return {
            **self._task.dump(),
            "cells": len(self._records),
            "kept_bytes": self._kept.total_bytes,
        }

    def update_server(self, server: Server) -> None:
        """Add a server, or update its state."""
        self._task.put(ServerListed(server))

    def remove_server(self, server_id: str) -> None:
        """Remove a server that left and close its connections."""
        self._task.put(ServerUnlisted(server_id))
        self._calls.forget(server_id)
        self._server_memory.forget(server_id)

    def ask(self, ask: Ask, on_bids: Callable[[Bids], None]) -> None:
        """Request the local servers' bids; the task passes them to ``on_bids``.

        A daemon is asked several times for each request, so no greenlet and no timer
        wait for the bids.
        """
        self._askers[ask.token] = on_bids
        self._task.put(ask)

    def run(self, attempt: LocalAttempt) -> AttemptResult:
        """Run an attempt once and return its result; repeated calls join the first.

        Only one of them gets an answer that is streamed.
        """
        attempt_id = attempt.submit.attempt_id
        record = self._records.get(attempt_id)
        if record is None:
            server_id = attempt.submit.server_id
            sent = self._server_memory.reserve(server_id, attempt.body.length)
            if sent is None:
                # A copy that is still on its way must not run any more.
                self._task.put(Withdraw(attempt_id))
                self._memory.note_server_full()
                return make_attempt_result(AttemptKind.DECLINED, 0.0, headers=_NO_ROOM)
            record = self._records[attempt_id] = _AttemptRecord(attempt, sent)
            self._task.put(attempt.submit)
        record.waiters += 1
        try:
            result: AttemptResult = record.result.wait()
        finally:
            record.waiters -= 1
        if isinstance(result.body, StreamedAnswer) and not result.body.take():
            return make_attempt_result(AttemptKind.NO_ANSWER, result.latency_s)
        return result

    def knows(self, attempt_id: str) -> bool:
        """Return whether an attempt was run before, whatever became of it."""
        return attempt_id in self._records

    def has_waiters(self, attempt_id: str) -> bool:
        """Return whether a call of ``run`` waits for the end of an attempt."""
        record = self._records.get(attempt_id)
        return record is not None and record.waiters > 0

    def handle_withdraw(self, frame: Frame) -> None:
        """Handle another daemon's withdrawal; raise ``CodecError`` if malformed."""
        self._task.put(decode(frame.payload, Withdraw))

    def withdraw(self, attempt_id: str, *, only_queued: bool = False) -> None:
        """Withdraw an attempt whose origin no longer waits for it."""
        self._task.put(Withdraw(attempt_id, only_queued))

    def _handle_output(self, output: HostOutput) -> None:
        match output:
            case Bids():
                self._askers.pop(output.token)(output)
            case StartCall():
                record = self._records[output.attempt_id]
                self._start_call(record, output.server)
            case Declined():
                self._events.put(HostDecided("declined", output.attempt_id, output))
                declined = make_attempt_result(AttemptKind.DECLINED, 0.0)
                declined = declined._replace(
                    headers=(("reason", output.reason.value),),
                    crash_reports=output.crash_reports,
                    blocked_s=output.blocked_s,
                )
                self._finish(output.attempt_id, declined)
            case CancelCall():
                record = self._records[output.attempt_id]
                if record.greenlet is not None:
                    record.greenlet.kill()
            case AdmitShareChanged():
                self._events.put(output)
            case CallLost():
                self._events.put(output)
                self._end_lost_call(output.attempt_id)
            case DuplicateSubmission():
                # The attempt came before, but its result was dropped since.
                # It may have run.
                self._events.put(HostDecided("joined", output.attempt_id, output))
                lost = make_attempt_result(AttemptKind.NO_ANSWER, 0.0)
                self._finish(output.attempt_id, lost)
            case LocalRuns():
                self.senders.update(output)
            case _:
                self._handle_crash_output(output)

    def _handle_crash_output(self, output: _CrashOutput) -> None:
        match output:
            case ProbeServer():
                self._start_probe(output)
            case CallJudged():
                self._finish_judged(output)
            case ReportsChanged():
                self._on_reports_changed(output.reports)
            case FingerprintBlocked() | FingerprintReleased():
                self.blocks.update(output)
                self._events.put(output)
            case ServerCrashed():
                self._events.put(output)

    def _start_probe(self, output: ProbeServer) -> None:
        def end(error: Exception) -> None:
            # Nothing shows that the server has crashed.
            self._report_error("probe", output.server.server_id, error)
            self._end_probe(output.server, is_listening=True)

        spawn_answering(self._probe, output, on_error=end)

    def _probe(self, output: ProbeServer) -> None:
        eventlet.sleep(output.delay_s)
        is_listening = self._calls.is_listening(output.server)
        self._end_probe(output.server, is_listening=is_listening)

    def _end_probe(self, server: Server, *, is_listening: bool) -> None:
        self._task.put(ServerProbed(server.server_id, server.incarnation, is_listening))

    def _report_error(self, task: str, subject: str, error: Exception) -> None:
        self._events.put(TaskFailed(task, subject, describe_error(error)))

    def _finish_judged(self, judged: CallJudged) -> None:
        record = self._records.get(judged.attempt_id)
        if record is None or record.unjudged is None:
            return
        result = record.unjudged._replace(
            crash_reports=judged.crash_reports, blocked_s=judged.blocked_s
        )
        record.unjudged = None
        self._finish(judged.attempt_id, result)

    def _start_call(self, record: _AttemptRecord, server: Server) -> None:
        started = self._clock.now()
        record.greenlet = eventlet.spawn(self._call, record, server, started)
        # Also called if the greenlet is killed before it has begun.
        record.greenlet.link(self._report_call, record, started)

    def _call(
        self, record: _AttemptRecord, server: Server, started: float
    ) -> AttemptResult:
        """Call the server until the deadline; killing the greenlet cancels the call."""
        submit, head, body = record.attempt
        self._events.put(HostDecided("call-started", submit.attempt_id, submit))
        with eventlet.Timeout(max(0.0, submit.deadline - started), False):
            return self._calls.call(server, head, body, submit.is_repeatable)
        return _make_cancelled()

    def _report_call(
        self, greenlet: Any, record: _AttemptRecord, started: float
    ) -> None:
        """Report the end of a call, however it came about."""
        attempt_id = record.attempt.submit.attempt_id
        try:
            result: AttemptResult = greenlet.wait()
        except greenlet_module.GreenletExit:
            result = _make_cancelled()
        except Exception as error:
            self._report_error("call", attempt_id, error)
            result = _make_cancelled()
        record.greenlet = None  # it refers to the result
        result = result._replace(latency_s=self._clock.now() - started)
        is_repeatable = record.attempt.submit.is_repeatable
        kind = _end_kind(result)
        has_answered = result.kind is AttemptKind.ANSWERED
        withheld = withhold_promise(result.status, is_repeatable=is_repeatable)
        if has_answered and withheld is not None:
            kind = EndKind.FAILED  # the caller gets an error
        self._task.put(CallEnded(attempt_id, kind, has_answered))
        if kind is EndKind.BROKEN:
            record.unjudged = result
        else:
            self._finish(attempt_id, result)

    def _end_lost_call(self, attempt_id: str) -> None:
        record = self._records.get(attempt_id)
        if record is not None and record.greenlet is not None:
            record.greenlet.kill()
        self._finish(attempt_id, make_attempt_result(AttemptKind.NO_ANSWER, 0.0))

    def _finish(self, attempt_id: str, result: AttemptResult) -> None:
        record = self._records.get(attempt_id)
        if record is None or record.ended_at is not None:
            return
        record.ended_at = self._clock.now()
        record.sent.release()
        # The record is kept for longer than the request's memory is reserved.
        record.attempt = record.attempt._replace(body=_NO_BODY)
        record.result.send(result)
        if isinstance(result.body, BufferedAnswer) and result.body.length:
            for oldest in self._kept.add(attempt_id, result.body.length):
                _drop_body(self._records[oldest])
        if result.kind is not AttemptKind.DECLINED:
            self._events.put(HostDecided("call-ended", attempt_id, result))

    def _drop_oldest(self) -> bool:
        """Drop the answer that is kept longest; return False without any."""
        oldest = self._kept.find_oldest()
        if oldest is None:
            return False
        self._kept.remove(oldest)
        _drop_body(self._records[oldest])
        return True

    def _expire(self) -> None:
        """Delete old results once they can no longer be requested."""
        while True:
            eventlet.sleep(1.0)
            now = self._clock.now()
            for attempt_id, record in list(self._records.items()):
                is_answer_expired = (
                    record.ended_at is not None
                    and now - record.ended_at > (ANSWER_KEEP_S)
                )
                is_past_deadline = now > record.attempt.submit.deadline + ANSWER_KEEP_S
                if is_past_deadline:
                    del self._records[attempt_id]
                    self._kept.remove(attempt_id)
                elif is_answer_expired:
                    _drop_body(record)
                    self._kept.remove(attempt_id)


def _drop_body(record: _AttemptRecord) -> None:
    """Free a buffered answer; the record stays, so that no copy runs again."""
    result = record.result.wait()
    if isinstance(result.body, BufferedAnswer) and result.body.length:
        lost = make_attempt_result(AttemptKind.NO_ANSWER, result.latency_s)
        record.result = eventlet.event.Event()
        record.result.send(lost)


def _make_cancelled() -> AttemptResult:
    return make_attempt_result(AttemptKind.CANCELLED, 0.0)


def _end_kind(result: AttemptResult) -> EndKind:
    if result.kind is AttemptKind.ANSWERED:
        is_good = result.status < SERVER_ERROR
        return EndKind.GOOD if is_good else EndKind.FAILED
    if result.is_broken:
        return EndKind.BROKEN
    return _END_KINDS.get(result.kind, EndKind.FAILED)
