"""Check how much memory a host takes for the answers of its servers.

It kept each answer for 10 s, and the start of each large one until its request's
deadline; a server that sends bodies without end filled the memory of the machine.
"""

import tracemalloc
from typing import Any

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import BUFFER_BYTES
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import StreamedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.kept_answers import MAX_KEPT_BYTES
from pimentobend_adapters._internal.forwarding.kept_answers import KeptAnswers
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

SERVER = Server("s", "x", "127.0.0.1", 1, 2, "a", "r", ServerState.READY, 1)
ATTEMPTS = 300  # of 256 KB each: 75 MB
SLACK_BYTES = 4 * 1024 * 1024
DEADLINE_S = 60.0


class Endless:
    """Body that goes on, and its connection."""

    def read1(self, size: int) -> bytes:
        return bytes(16)

    def close(self) -> None:
        pass


def make_buffered() -> AnswerBody:
    return BufferedAnswer(bytes(BUFFER_BYTES - 1))


def make_streamed() -> AnswerBody:
    endless = Endless()
    start = bytes(BUFFER_BYTES)
    return StreamedAnswer(start, endless, endless, HubClock(), HubClock().now() + 60.0)


class FakeCalls(ServerCalls):
    """Answers each call with a body of one kind."""

    def __init__(self, make_body: Any) -> None:
        super().__init__(HeaderNames(request_id="Id"), HubClock(), lambda: None)
        self._make_body = make_body

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        return make_attempt_result(
            AttemptKind.ANSWERED, 0.0, 200, (), self._make_body()
        )


def make_attempt(number: int) -> LocalAttempt:
    now = HubClock().now()
    name, deadline = str(number), now + DEADLINE_S
    submit = Submit(name, "s", "look", 1, True, 0.5, deadline, name)
    head = RequestHead(name, "GET", "h", "/", "", (), "", None, now, deadline)
    return LocalAttempt(submit, head, BufferedBody(b""))


@pytest.mark.parametrize("make_body", [make_buffered, make_streamed])
def test_the_answers_of_a_host_take_bounded_memory(make_body: Any) -> None:
    terms = BudgetTerms(0.2, 10.0, 50.0)
    host = HostTasks(7, terms, FakeCalls(make_body), HubClock(), Discard())
    host.start()
    host.update_server(SERVER)
    tracemalloc.start()
    try:
        for number in range(ATTEMPTS):
            result = host.run(make_attempt(number))
            assert result.body is not None
            assert len(next(iter(result.body.chunks()))) >= BUFFER_BYTES - 1
            result.body.close()
            eventlet.sleep(0)
        del result
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < MAX_KEPT_BYTES + SLACK_BYTES
    # What was dropped, or read, is not run again, and its outcome is unknown.
    assert host.run(make_attempt(0)).kind is AttemptKind.NO_ANSWER


def test_the_oldest_answers_are_dropped_first() -> None:
    kept = KeptAnswers(10)
    dropped = [kept.add(name, size) for name, size in [("a", 4), ("b", 4), ("c", 4)]]
    assert dropped == [(), (), ("a",)]
    kept.remove("b")
    kept.remove("a")
    assert kept.total_bytes == 4
    assert kept.add("d", 11) == ("c", "d")
    assert kept.total_bytes == 0
