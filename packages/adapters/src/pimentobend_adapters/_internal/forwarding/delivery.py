"""Deliver requests: ask for bids, send attempts and return the answer."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.queue
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.answering import describe_error
from pimentobend_adapters._internal.answering import spawn_answering
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.bid_collector import BidCollector
from pimentobend_adapters._internal.forwarding.bid_collector import Question
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.forwarding.admission import find_room
from pimentobend_core._internal.forwarding.delivery import Delivery
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CallerLeft
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import CancelUnsent
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import FinishBy
from pimentobend_core._internal.forwarding.delivery_messages import GiveUp
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import RecallAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Stop
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.events import AttemptJudged
from pimentobend_core._internal.forwarding.events import AttemptSent
from pimentobend_core._internal.forwarding.events import DeliveryEnded
from pimentobend_core._internal.forwarding.events import DeliveryHeld
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import TaskFailed
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallReturned
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Routed

MS_PER_S = 1000
SERVER_ERROR = 500
CALLER_LEFT = Refusal(
    499, Ran.UNKNOWN, RefusalReason.CALLER_LEFT, "the caller closed its connection"
)


class DeliveryPorts(NamedTuple):
    """The objects and settings that all deliveries of a process share."""

    process_id: int
    bid_collector: BidCollector
    host: HostTasks
    peers: PeerClient
    repeats: RetryPolicy
    clock: ClockPort
    events: Outlet[ForwardingEvent]
    tables_version: Callable[[], str]
    numbers: Iterator[int]  # for attempt ids; each is used once in the process


class DeliveryFilter(Filter[Routed, Finished]):
    """Delivers each routed request to a backend server and returns its answer."""

    def __init__(self, ports: DeliveryPorts) -> None:
        self._ports = ports
        self._tasks: set[_DeliveryTask] = set()
        # What each delivery is told at its start while the process is stopping.
        self._stop_messages: list[DeliveryInput] = []

    def apply(self, value: Routed) -> Result[Finished, Refusal]:
        """Return the answer, or a refusal that takes all attempts into account."""
        task = _DeliveryTask(self._ports, value)
        self._tasks.add(task)
        for message in self._stop_messages:
            task.put(message)
        host, sender = self._ports.host, value.sender
        runs = sender.calling_runs
        if runs:
            host.note_call(
                CallMade(
                    value.pool,
                    sender.calling_routes,
                    runs,
                    value.head.request_id,
                    sender.is_run_known,
                )
            )
        try:
            return task.run()
        finally:
            self._tasks.discard(task)
            if runs:
                host.note_call(CallReturned(value.head.request_id))

    def finish_by(self, finish: FinishBy) -> None:
        """Refuse what this process would probably not see the end of."""
        self._tell_all(finish)

    def cancel_unsent(self) -> None:
        """Tell every delivery to end if its request has not reached a server."""
        self._tell_all(CancelUnsent())

    def give_up(self) -> None:
        """Tell every delivery to end now, as the process is ending."""
        self._tell_all(GiveUp())

    def _tell_all(self, message: DeliveryInput) -> None:
        """Pass a message to the deliveries of now and of the rest of the stop."""
        self._stop_messages.append(message)
        for task in tuple(self._tasks):
            task.put(message)


class _DeliveryTask:
    """Run one delivery with its inbox, timer and attempts."""

    def __init__(self, ports: DeliveryPorts, routed: Routed) -> None:
        self._ports = ports
        self._routed = routed
        self._inbox: Any = eventlet.queue.LightQueue()
        self._wake_at = routed.head.deadline
        self._attempts: dict[int, Any] = {}  # greenlets by attempt number
        # Attempt id and chosen server, by attempt number.
        self._sent_attempts: dict[int, tuple[str, Candidate]] = {}
        self._results: dict[int, AttemptResult] = {}
        # Kinds of the results so far; kept when ``_results`` is cleared.
        self._kinds: dict[int, str] = {}
        # What the hosts of earlier attempts hold against the request.
        self._crash_reports: dict[str, CrashReport] = {}
        self._delivery = Delivery(
            routed.head.request_id,
            routed.route,
            routed.pool,
            routed.head.deadline,
            routed.body.can_replay,
            ports.repeats,
            routed.body.length,
        )
        self._question = Question(
            routed.pool,
            routed.route.name,
            routed.organisation,
            routed.sender.is_call,
        )

    def put(self, message: DeliveryInput) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    def run(self) -> Result[Finished, Refusal]:
        """Run until the delivery ends."""
        if self._routed.on_caller_left is not None:
            self._routed.on_caller_left(lambda: self._inbox.put(CallerLeft()))
        now = self._ports.clock.now
        outputs = self._delivery.begin(now(), self._routed.sender)
        while True:
            for output in outputs:
                ended = self._execute(output)
                if ended is not None:
                    self._report_failure(ended)
                    return ended
            outputs = self._delivery.handle(self._receive(), now())

    def _report_failure(self, ended: Result[Finished, Refusal]) -> None:
        """Emit an event that lists the attempts if the request failed."""
        if ended.map(lambda each: each.result.status < SERVER_ERROR).value_or(False):
            return
        routed = self._routed
        attempts = tuple(
            f"{attempt_id}@{candidate.server_id}:{self._kinds.get(number, 'running')}"
            for number, (attempt_id, candidate) in self._sent_attempts.items()
        )
        self._ports.events.put(
            DeliveryEnded(
                routed.head.request_id,
                routed.route.name,
                routed.pool,
                self._ports.tables_version(),
                attempts,
            )
        )

    def _receive(self) -> DeliveryInput:
        wait_s = max(0.0, self._wake_at - self._ports.clock.now())
        try:
            message: DeliveryInput = self._inbox.get(timeout=wait_s)
        except eventlet.queue.Empty:
            return TimerDue()
        return message

    def _execute(self, output: DeliveryOutput) -> Result[Finished, Refusal] | None:
        match output:
            case WakeAt():
                self._wake_at = output.due
            case AskServers():
                self._start_ask(output.distance)
            case SendAttempt():
                self._send(output)
            case CancelAttempt():
                self._cancel(output.number)
            case RecallAttempt():
                self._recall(output.number)
            case Held():
                request_id = self._routed.head.request_id
                event = DeliveryHeld(request_id, self._routed.pool, output)
                self._ports.events.put(event)
            case Deliver():
                result = self._results.pop(output.number)
                self._close_unused()
                _, candidate = self._sent_attempts[output.number]
                return Success(
                    Finished(
                        result,
                        Ran.RAN,
                        candidate.server_id,
                        len(self._sent_attempts),
                    )
                )
            case Refuse():
                self._close_unused()
                return Failure(output.refusal)
            case Stop():
                self._close_unused()
                return Failure(CALLER_LEFT)
        return None

    def _start_ask(self, distance: Distance) -> None:
        def end(error: Exception) -> None:
            self._report_error("ask", error)
            self._inbox.put(Offers((), distance))

        spawn_answering(self._ask, distance, on_error=end)

    def _report_error(self, task: str, error: Exception) -> None:
        request_id = self._routed.head.request_id
        self._ports.events.put(TaskFailed(task, request_id, describe_error(error)))

    def _ask(self, distance: Distance) -> None:
        candidates = self._ports.bid_collector.ask(self._question, distance)
        if self._routed.sender.calling_routes:
            self._note_room(candidates)
        recent = self._ports.bid_collector.find_recent(self._question, distance)
        self._inbox.put(Offers(candidates, distance, recent))

    def _note_room(self, candidates: tuple[Candidate, ...]) -> None:
        """Tell the host of the calling server what room the called service has."""
        seen = find_room(self._routed.pool, (each.bid for each in candidates))
        if seen is not None:
            self._ports.host.note_call(seen)

    def _send(self, output: SendAttempt) -> None:
        ports, routed = self._ports, self._routed
        candidate = output.candidate
        attempt_id = f"{ports.process_id:x}-{next(ports.numbers):x}"
        self._sent_attempts[output.number] = (attempt_id, candidate)
        route = routed.route
        submit = Submit(
            attempt_id,
            candidate.server_id,
            route.name,
            route.priority if routed.priority is None else routed.priority,
            route.repeatable,
            route.target_latency_ms / MS_PER_S,
            routed.head.deadline,
            routed.head.request_id,
            output.is_repeat,
            routed.fingerprint,
            tuple(self._crash_reports.values()),
            routed.sender,
            routed.organisation,
            is_copy=output.is_hedge,
            demand=output.demand,
        )
        age_s = ports.bid_collector.bid_age_s(candidate, self._question)
        ports.events.put(
            AttemptSent(
                routed.head.request_id,
                attempt_id,
                candidate,
                age_s,
                output.is_hedge,
                routed.fingerprint,
            )
        )
        attempt = LocalAttempt(submit, routed.head, routed.body)
        self._start_attempt(output.number, candidate, attempt)

    def _start_attempt(
        self, number: int, candidate: Candidate, attempt: LocalAttempt
    ) -> None:
        started = self._ports.clock.now()

        def end(error: Exception) -> None:
            # It may have reached a server.
            self._report_error("attempt", error)
            latency_s = self._ports.clock.now() - started
            result = make_attempt_result(AttemptKind.NO_ANSWER, latency_s)
            self._end_attempt(number, attempt, result)

        self._attempts[number] = spawn_answering(
            self._run_attempt, number, candidate, attempt, on_error=end
        )

    def _run_attempt(
        self, number: int, candidate: Candidate, attempt: LocalAttempt
    ) -> None:
        ports = self._ports
        if candidate.peer.process_id == ports.process_id:
            result = ports.host.run(attempt)
        else:
            result = ports.peers.run(candidate.peer, attempt)
        self._end_attempt(number, attempt, result)

    def _end_attempt(
        self, number: int, attempt: LocalAttempt, result: AttemptResult
    ) -> None:
        ports = self._ports
        self._results[number] = result
        self._kinds[number] = result.kind.value
        request_id = attempt.head.request_id
        ports.events.put(AttemptJudged(request_id, attempt.submit.attempt_id, result))
        if result.crash_reports:
            self._crash_reports.update(
                (report.crash_id, report) for report in result.crash_reports
            )
            # Gossip brings the same reports later.
            ports.host.receive_reports(result.crash_reports)
        self._inbox.put(
            AttemptDone(
                number,
                result.kind,
                result.status,
                blocked_s=result.blocked_s,
                is_suspect=any(report.weight for report in result.crash_reports),
                is_body_spent=attempt.body.is_spent,
            )
        )

    def _cancel(self, number: int) -> None:
        greenlet = self._attempts.pop(number, None)
        if greenlet is not None:
            greenlet.kill()
        attempt_id, candidate = self._sent_attempts[number]
        if candidate.peer.process_id == self._ports.process_id:
            self._ports.host.withdraw(attempt_id)
        else:
            self._ports.peers.withdraw(candidate.peer, attempt_id)

    def _recall(self, number: int) -> None:
        attempt_id, candidate = self._sent_attempts[number]
        if candidate.peer.process_id == self._ports.process_id:
            self._ports.host.withdraw(attempt_id, only_queued=True)
        else:
            self._ports.peers.withdraw(candidate.peer, attempt_id, only_queued=True)

    def _close_unused(self) -> None:
        """Close the answers that are not returned to the caller."""
        for result in self._results.values():
            if result.body is not None:
                result.body.close()
        self._results.clear()
