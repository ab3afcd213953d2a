"""Test forwarding between two daemons over connections that break."""

import io
from threading import Timer
from typing import Any

import eventlet
import pytest
from hop_harness import NAMES
from hop_harness import PROCESS
from hop_harness import SERVER
from hop_harness import TERMS
from hop_harness import WAIT_S
from hop_harness import FakeCalls
from hop_harness import HopHarness
from hop_harness import make_attempt
from kept_connection import Answer
from kept_connection import PlatformClient
from kept_connection import ScriptedServer

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.answers import read_answer
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.hop import RESULT_HEADER
from pimentobend_adapters._internal.forwarding.hop import HopResult
from pimentobend_adapters._internal.forwarding.hop import encode_hop
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body

LARGE_BYTES = 32 * 1024 * 1024  # more than connections can buffer
LARGE = bytes(LARGE_BYTES)


class FakeResponse:
    """Response of a server, and its connection, which can be read once."""

    def __init__(self, content: bytes) -> None:
        self._source = io.BytesIO(content)

    def read1(self, size: int) -> bytes:
        return b"" if self._source.closed else self._source.read(size)

    def close(self) -> None:
        self._source.close()


class StreamingCalls(ServerCalls):
    """Answers each call with a body that is too large to keep."""

    def __init__(self) -> None:
        super().__init__(NAMES, HubClock(), lambda: None)

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        response = FakeResponse(LARGE)
        clock = HubClock()
        content, _ = read_answer(response, response, clock, clock.now() + WAIT_S)
        return make_attempt_result(AttemptKind.ANSWERED, 0.0, 200, (), content)


# Name, duration of the call, times after which connections break, and
# how many connections lose their answers.
BREAKS = [
    ("no break", 0.0, [], 0),
    ("while it runs", 0.4, [0.1], 0),
    ("twice while it runs", 0.6, [0.1, 0.1], 0),
    ("answer lost", 0.1, [0.3], 1),
]


@pytest.mark.parametrize(
    ("hold_s", "breaks_after", "loses"),
    [b[1:] for b in BREAKS],
    ids=[b[0] for b in BREAKS],
)
def test_an_attempt_runs_once_whatever_breaks(
    hold_s: float, breaks_after: list[float], loses: int
) -> None:
    harness = HopHarness(hold_s)
    harness.proxy.breaks_after = breaks_after
    harness.proxy.loses_answers = loses
    result = harness.run("1")
    assert (result.kind, result.status) == (AttemptKind.ANSWERED, 200)
    assert harness.calls.runs == ["1"]


def test_a_refused_connection_is_not_connected() -> None:
    harness = HopHarness()
    harness.proxy.stop()
    assert harness.run("1").kind is AttemptKind.NOT_CONNECTED


@pytest.mark.parametrize(
    ("breaks_after", "kind"),
    [([], AttemptKind.DECLINED), ([0.1], AttemptKind.NO_ANSWER)],
)
def test_another_process_does_not_run_the_attempt(
    breaks_after: list[float], kind: AttemptKind
) -> None:
    harness = HopHarness()
    harness.proxy.loses_answers = len(breaks_after)
    harness.proxy.breaks_after = breaks_after
    assert harness.run("1", process=8).kind is kind
    assert harness.calls.runs == []


@pytest.mark.parametrize(("safe", "ends"), [(True, False), (False, True)])
def test_an_attempt_after_its_origin_left(safe: bool, ends: bool) -> None:
    harness = HopHarness(hold_s=1.0)
    greenlet = eventlet.spawn(harness.run, "1", safe=safe)
    eventlet.sleep(0.3)
    greenlet.kill()
    eventlet.sleep(1.2)
    assert harness.calls.runs == ["1"]
    assert harness.calls.ended == ["1"] * ends


def test_a_daemon_that_ends_tells_origins_what_it_cuts_off() -> None:
    harness = HopHarness(hold_s=WAIT_S)
    run = eventlet.spawn(harness.run, "1")
    eventlet.sleep(0.3)
    harness.host.give_up()
    with eventlet.Timeout(1.0):
        assert run.wait().kind is AttemptKind.NO_ANSWER
    assert harness.calls.runs == ["1"]


def test_a_copy_that_comes_after_the_result_was_forgotten_does_not_run() -> None:
    harness = HopHarness()
    attempt = make_attempt("1")
    assert harness.host.run(attempt).kind is AttemptKind.ANSWERED
    harness.host._records.clear()
    with eventlet.Timeout(WAIT_S):
        assert harness.host.run(attempt).kind is AttemptKind.NO_ANSWER
    assert harness.calls.runs == ["1"]


def test_an_attempt_is_in_flight_until_its_answer_is_written() -> None:
    harness = HopHarness()
    harness.calls.content = bytes(LARGE_BYTES)
    harness.proxy.reads_answers.clear()
    run = eventlet.spawn(harness.run, "1")
    with eventlet.Timeout(WAIT_S):
        while not harness.calls.ended or harness.host.running:
            eventlet.sleep(0.05)
    eventlet.sleep(0.2)
    assert harness.front.in_flight == 1
    harness.proxy.reads_answers.set()
    with eventlet.Timeout(2 * WAIT_S):
        answer = run.wait().body
        assert answer is not None
        assert sum(map(len, answer.chunks())) == LARGE_BYTES
        while harness.front.in_flight:
            eventlet.sleep(0.05)


CANCELLED_AT = [  # when a call is cancelled, and how many calls reach the server
    ("before it has begun", False, 0),
    ("while it runs", True, 1),
]


@pytest.mark.parametrize(
    ("has_begun", "runs"),
    [c[1:] for c in CANCELLED_AT],
    ids=[c[0] for c in CANCELLED_AT],
)
def test_a_cancelled_call_frees_its_slot(has_begun: bool, runs: int) -> None:
    """The end of a call that was cancelled before it began was never reported."""
    calls = FakeCalls(hold_s=WAIT_S)
    host = HostTasks(PROCESS, TERMS, calls, HubClock(), Discard())
    host.update_server(SERVER)
    running = eventlet.spawn(host.run, make_attempt("1", safe=True))
    eventlet.sleep(0)
    if has_begun:
        host.start()
        eventlet.sleep(0.05)
    host.withdraw("1")
    # Both are in the inbox when the task runs for the first time.
    if not has_begun:
        host.start()
    with eventlet.Timeout(WAIT_S / 2):
        assert running.wait().kind is AttemptKind.CANCELLED
    assert len(calls.runs) == runs
    servers: Any = host.dump()["servers"]
    assert servers[SERVER.server_id]["running"] == []


@pytest.mark.parametrize("breaks_after_s", [None, 0.05, 0.3])
def test_a_copy_of_an_attempt_gets_no_spent_answer(
    breaks_after_s: float | None,
) -> None:
    """The second reader got the start of the answer, and then its end at once."""
    harness = HopHarness(calls=StreamingCalls())
    harness.proxy.reads_answers.clear()
    if breaks_after_s is not None:
        harness.proxy.breaks_after.append(breaks_after_s)
    Timer((breaks_after_s or 0.0) + 0.2, harness.proxy.reads_answers.set).start()
    result = harness.run("1", safe=True)
    if breaks_after_s is None:
        assert result.body is not None
        assert b"".join(result.body.chunks()) == LARGE
    elif result.body is None:
        assert result.kind is AttemptKind.NO_ANSWER
    else:
        with pytest.raises(AnswerTruncatedError):
            b"".join(result.body.chunks())


STATED_RESULTS = [
    *(
        (kind.name.lower(), encode_hop(HopResult(kind, "stated")))
        for kind in AttemptKind
    ),
    ("empty", ""),
    ("malformed", "{"),
]


@pytest.mark.parametrize(
    "value", [r[1] for r in STATED_RESULTS], ids=[r[0] for r in STATED_RESULTS]
)
def test_the_result_that_a_server_states_is_not_believed(value: str) -> None:
    whole = Answer(request_id="1").encode(PlatformClient())
    stated = f"\r\n{RESULT_HEADER}: {value}\r\n\r\n".encode()
    raw = ScriptedServer([whole.replace(b"\r\n\r\n", stated)])
    calls = ServerCalls(HeaderNames(request_id="Id", stamp="Stamp"), HubClock(), int)
    harness = HopHarness(calls=calls)
    harness.host.update_server(raw.server)
    result = harness.run("1")
    assert (result.kind, result.status) == (AttemptKind.ANSWERED, 200)
    assert isinstance(result.body, BufferedAnswer)
    assert b"".join(result.body.chunks()) == b"ok"
    assert RESULT_HEADER not in dict(harness.host.run(make_attempt("1")).headers)
