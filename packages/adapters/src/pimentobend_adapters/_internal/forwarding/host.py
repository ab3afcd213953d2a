"""Run the attempts for the backend servers beside this daemon."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempted
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_adapters._internal.tasks import Ticking
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import HostDecided
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import Joined
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StopTaking
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

TICK_S = 0.1
ASK_TIMEOUT_S = 0.5  # the task answers at once unless the process stands still
ANSWER_KEEP_S = 10.0  # in which a lost answer is asked for again
SERVER_ERROR = 500

_END_KINDS = {
    AttemptKind.REFUSED: EndKind.REFUSED,
    AttemptKind.NOT_CONNECTED: EndKind.UNREACHABLE,
    AttemptKind.CANCELLED: EndKind.GIVEN_UP,
}


class LocalAttempt(NamedTuple):
    """Hold what an attempt needs at its server."""

    submit: Submit
    head: RequestHead
    body: Body


class _Cell:
    """Hold an attempt and, once it ended, its result."""

    def __init__(self, attempt: LocalAttempt) -> None:
        self.attempt = attempt
        self.result: Any = eventlet.event.Event()
        self.greenlet: Any = None
        self.waiters = 0
        self.ended_at: float | None = None


class HostTasks:
    """Own the host's task, the calls to its servers and their results."""

    def __init__(
        self,
        process_id: int,
        terms: BudgetTerms,
        calls: ServerCalls,
        clock: ClockPort,
        events: Outlet[ForwardingEvent],
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._events = events
        self._cells: dict[str, _Cell] = {}
        self._bids: Replies[Bids] = Replies(lambda bids: bids.token)
        self._task: FilterTask[HostInput, HostOutput] = FilterTask(
            "host",
            ServerHost(process_id, terms),
            CallOutlet(self._release),
            clock,
            Ticking(TICK_S, HostTick()),
        )

    @property
    def running(self) -> int:
        """Return the number of attempts without a result."""
        return sum(1 for cell in self._cells.values() if cell.ended_at is None)

    def start(self) -> None:
        """Start the task."""
        self._task.start()
        eventlet.spawn_n(self._expire)

    def stop_taking(self) -> None:
        """Decline all further work."""
        self._task.put(StopTaking())

    def follow_sizes(self, sizes: ServiceSizes) -> None:
        """Take the number of servers of each service."""
        self._task.put(sizes)

    def dump(self) -> Mapping[str, object]:
        """Return the state of the task."""
        return {**self._task.dump(), "cells": len(self._cells)}

    def list_server(self, server: Server) -> None:
        """Take a server, or a change of its state."""
        self._task.put(ServerListed(server))

    def unlist_server(self, server_id: str) -> None:
        """Forget a server that left."""
        self._task.put(ServerUnlisted(server_id))
        self._calls.forget(server_id)

    def ask(self, ask: Ask) -> Bids | None:
        """Return what the servers offer; None when the task does not answer."""
        return self._bids.ask(ask.token, lambda: self._task.put(ask), ASK_TIMEOUT_S)

    def run(self, attempt: LocalAttempt) -> AttemptResult:
        """Run an attempt once, however often it is asked for; wait for its end."""
        attempt_id = attempt.submit.attempt_id
        cell = self._cells.get(attempt_id)
        if cell is None:
            cell = self._cells[attempt_id] = _Cell(attempt)
            self._task.put(attempt.submit)
        cell.waiters += 1
        try:
            result: AttemptResult = cell.result.wait()
            return result
        finally:
            cell.waiters -= 1

    def has_waiters(self, attempt_id: str) -> bool:
        """Say whether anyone waits for the end of an attempt."""
        cell = self._cells.get(attempt_id)
        return cell is not None and cell.waiters > 0

    def take_withdraw(self, frame: Frame) -> None:
        """Take another daemon's withdrawal; raise ``CodecError``."""
        self._task.put(decode(frame.payload, Withdraw))

    def withdraw(self, attempt_id: str, *, only_queued: bool = False) -> None:
        """Take back an attempt that its origin no longer waits for."""
        self._task.put(Withdraw(attempt_id, only_queued))

    def _release(self, output: HostOutput) -> None:
        match output:
            case Bids():
                self._bids.put(output)
            case StartCall():
                cell = self._cells[output.attempt_id]
                cell.greenlet = eventlet.spawn(self._call, cell, output.server)
            case Declined():
                self._events.put(HostDecided("declined", output.attempt_id, output))
                declined = make_attempted(AttemptKind.DECLINED, 0.0)
                declined = declined._replace(headers=(("reason", output.reason.value),))
                self._finish(output.attempt_id, declined)
            case CancelCall():
                cell = self._cells[output.attempt_id]
                if cell.greenlet is not None:
                    cell.greenlet.kill()
            case Joined():
                # its result was forgotten, so all that is known is that it came
                self._events.put(HostDecided("joined", output.attempt_id, output))
                lost = make_attempted(AttemptKind.NO_ANSWER, 0.0)
                self._finish(output.attempt_id, lost)

    def _call(self, cell: _Cell, server: Server) -> None:
        """Call the server until the deadline; a kill breaks the call off."""
        submit, head, body = cell.attempt
        started = self._clock.now()
        self._events.put(HostDecided("call-started", submit.attempt_id, submit))
        attempted = make_attempted(AttemptKind.CANCELLED, 0.0)
        try:
            with eventlet.Timeout(max(0.0, submit.deadline - started), False):
                attempted = self._calls.call(server, head, body, submit.is_repeatable)
        finally:
            attempted = attempted._replace(latency_s=self._clock.now() - started)
            self._task.put(CallEnded(submit.attempt_id, _end_kind(attempted)))
            self._finish(submit.attempt_id, attempted)

    def _finish(self, attempt_id: str, attempted: AttemptResult) -> None:
        cell = self._cells.get(attempt_id)
        if cell is None or cell.ended_at is not None:
            return
        cell.ended_at = self._clock.now()
        cell.result.send(attempted)
        if attempted.kind is not AttemptKind.DECLINED:
            self._events.put(HostDecided("call-ended", attempt_id, attempted))

    def _expire(self) -> None:
        """Forget results that nobody asks for again."""
        while True:
            eventlet.sleep(1.0)
            now = self._clock.now()
            for attempt_id, cell in list(self._cells.items()):
                is_old = cell.ended_at is not None and now - cell.ended_at > (
                    ANSWER_KEEP_S
                )
                is_late = now > cell.attempt.submit.deadline + ANSWER_KEEP_S
                if is_late:
                    del self._cells[attempt_id]
                elif is_old:
                    _drop_body(cell)


def _drop_body(cell: _Cell) -> None:
    """Free the memory of an answer; that the attempt ran stays known."""
    attempted = cell.result.wait()
    if isinstance(attempted.body, BufferedAnswer) and attempted.body.length:
        lost = make_attempted(AttemptKind.NO_ANSWER, attempted.latency_s)
        cell.result = eventlet.event.Event()
        cell.result.send(lost)


def _end_kind(attempted: AttemptResult) -> EndKind:
    if attempted.kind is AttemptKind.ANSWERED:
        is_good = attempted.status < SERVER_ERROR
        return EndKind.GOOD if is_good else EndKind.FAILED
    return _END_KINDS.get(attempted.kind, EndKind.FAILED)
