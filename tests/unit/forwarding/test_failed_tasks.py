"""Check that a task that ends by an exception still gives the answer that it owes.

Guards against requests that wait for their deadline, and slots that stay taken, after a
fault that nobody expected.
"""

from typing import Any

import eventlet
import pytest
from delivery_driver import PEER
from delivery_driver import candidate
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.bid_collector import BidCollector
from pimentobend_adapters._internal.forwarding.bid_collector import Question
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.delivery import DeliveryFilter
from pimentobend_adapters._internal.forwarding.delivery import DeliveryPorts
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import TaskFailed
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Routed
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import OriginBudget

PROCESS = 1
TERMS = BudgetTerms(0.2, 10.0, 50.0)
SERVER = Server("s", "x", "127.0.0.1", 1, 1, "a", "r", ServerState.READY, 1)
DEADLINE_S = 4.0
WAIT_S = 30.0
TARGET_MS = 500


class Events(Outlet[ForwardingEvent]):
    """Keeps the failed tasks."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def put(self, message: ForwardingEvent) -> None:
        """Keep the name of a task that failed."""
        if isinstance(message, TaskFailed):
            assert "unexpected" in message.error
            self.failed.append(message.task)


class FailingCalls(ServerCalls):
    """Raises an exception in each call."""

    def __init__(self) -> None:
        super().__init__(HeaderNames(request_id="Id"), HubClock(), lambda: None)

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        raise UnicodeError("unexpected")


class FailingPeers(PeerClient):
    """Raises an exception for each attempt."""

    def __init__(self) -> None:
        """Send nothing."""

    def run(self, peer: Any, attempt: LocalAttempt) -> AttemptResult:
        raise UnicodeError("unexpected")


class Bidders(BidCollector):
    """Returns one server, of this daemon or of another one, or raises an exception."""

    def __init__(self, process_id: int | None) -> None:
        self._process_id = process_id

    def ask(self, question: Question, distance: Distance) -> tuple[Candidate, ...]:
        if self._process_id is None:
            raise UnicodeError("unexpected")
        peer = PEER._replace(process_id=self._process_id)
        return (candidate("s")._replace(peer=peer),)

    def find_recent(
        self, question: Question, distance: Distance
    ) -> tuple[Candidate, ...]:
        return ()

    def bid_age_s(self, chosen: Candidate, question: Question) -> float:
        return 0.0


def create_host(events: Events) -> HostTasks:
    host = HostTasks(PROCESS, TERMS, FailingCalls(), HubClock(), events)
    host.update_server(SERVER)
    host.start()
    return host


def request() -> Routed:
    now = HubClock().now()
    head = RequestHead("1", "POST", "a", "/", "", (), "", None, now, now + DEADLINE_S)
    route = Route("r", "*", "/", (), "p", False, 60_000, target_latency_ms=TARGET_MS)
    return Routed(head, BufferedBody(b""), route, "p")


@pytest.mark.parametrize(
    ("process_id", "task", "ran"),
    [
        (None, "ask", Ran.NOT_RUN),
        (PROCESS, "call", Ran.UNKNOWN),
        (PROCESS + 1, "attempt", Ran.UNKNOWN),
    ],
    ids=["ask", "call of the own server", "attempt at another daemon"],
)
def test_a_failed_task_does_not_hold_its_request(
    process_id: int | None, task: str, ran: Ran
) -> None:
    events = Events()
    ports = DeliveryPorts(
        PROCESS,
        Bidders(process_id),
        create_host(events),
        FailingPeers(),
        OriginBudget(),
        HubClock(),
        events,
        lambda: "1.0",
        iter(range(9)),
    )
    with eventlet.Timeout(WAIT_S):
        result: Result[Finished, Refusal] = DeliveryFilter(ports).apply(request())
    assert result.failure().ran is ran
    assert result.failure().reason is not RefusalReason.DEADLINE
    assert set(events.failed) == {task}


def test_a_failed_call_frees_its_slot() -> None:
    events = Events()
    host = create_host(events)
    for number in range(3):
        deadline = HubClock().now() + DEADLINE_S
        submit = Submit(str(number), "s", "r", 1, False, 1.0, deadline, "1")
        attempt = LocalAttempt(submit, request().head, BufferedBody(b""))
        with eventlet.Timeout(WAIT_S):
            result = host.run(attempt)
        assert result.kind is AttemptKind.CANCELLED
    assert events.failed == ["call"] * 3
