"""Test calls to a backend server over real sockets."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.calls import UNSAFE_IDLE_S
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AttemptResult

NAMES = HeaderNames(request_id="Id", not_run="Not-Run", stamp="Stamp")
WAIT_S = 5.0
GOOD = b"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: x\r\nContent-Length: 2\r\n\r\nok"


class Step(NamedTuple):
    """What the server does with one request."""

    answer: bytes
    then: str = ""  # after the answer: "close", "reset" or "" to keep the connection
    late: bytes = b""  # extra bytes, sent 20 ms after the answer


class RawServer:
    """A server that answers each request with the bytes of the next step."""

    def __init__(self, steps: list[Step]) -> None:
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.steps = list(steps)
        self.connections = 0
        self.heads: list[bytes] = []
        eventlet.spawn_n(self._accept)

    @property
    def server(self) -> Server:
        port = self.socket.getsockname()[1]
        return Server("s", "x", "127.0.0.1", port, 3, "a", "r", ServerState.READY, 1)

    def _accept(self) -> None:
        while True:
            connection, _ = self.socket.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: Any) -> None:
        while self.steps:
            head = b""
            while b"\r\n\r\n" not in head:
                piece = connection.recv(4096)
                if not piece:
                    return
                head += piece
            self.heads.append(head)
            step = self.steps.pop(0)
            connection.sendall(step.answer)
            if step.late:
                eventlet.sleep(0.02)
                connection.sendall(step.late)
            if step.then == "reset":
                eventlet.sleep(0.05)
                connection.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER
                connection.close()
                return
            if step.then == "close":
                connection.close()
                return


def call(
    raw: RawServer, calls: ServerCalls, *, is_repeatable: bool = True
) -> AttemptResult:
    head = RequestHead(
        "1", "GET", "h", "/x", "", (), "", None, 0.0, HubClock().now() + WAIT_S
    )
    with eventlet.Timeout(WAIT_S):
        return calls.call(raw.server, head, BufferedBody(b""), is_repeatable)


def make_calls(on_connect: Callable[[], None] = lambda: None) -> ServerCalls:
    return ServerCalls(NAMES, HubClock(), on_connect)


ANSWERS = [
    ("complete", Step(GOOD), AttemptKind.ANSWERED),
    ("truncated, closed", Step(GOOD[:-1], "close"), AttemptKind.NO_ANSWER),
    ("truncated, reset", Step(GOOD[:-1], "reset"), AttemptKind.NO_ANSWER),
    (
        "without a length, closed",
        Step(b"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: x\r\n\r\nok", "close"),
        AttemptKind.ANSWERED,
    ),
    (
        "without a length, reset",
        Step(b"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: x\r\n\r\nok", "reset"),
        AttemptKind.NO_ANSWER,
    ),
    (
        "answer of another request",
        Step(GOOD.replace(b"Id: 1", b"Id: 2")),
        AttemptKind.TRUNCATED,
    ),
    (
        "success without a stamp",
        Step(GOOD.replace(b"Stamp: x\r\n", b"")),
        AttemptKind.TRUNCATED,
    ),
    (
        "failure without a stamp",
        Step(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
        AttemptKind.ANSWERED,
    ),
    (
        "encoded",
        Step(GOOD.replace(b"Stamp: x", b"Stamp: x\r\nContent-Encoding: gzip")),
        AttemptKind.TRUNCATED,
    ),
    (
        "states that it did not run",
        Step(b"HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
        AttemptKind.REFUSED,
    ),
    (
        "states that it did not run, without naming the request",
        Step(b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
        AttemptKind.TRUNCATED,
    ),
    ("no answer", Step(b"", "close"), AttemptKind.NO_ANSWER),
    ("not HTTP", Step(b"\x00\x01\x02\r\n\r\n", "close"), AttemptKind.NO_ANSWER),
]


@pytest.mark.parametrize(
    ("step", "kind"), [a[1:] for a in ANSWERS], ids=[a[0] for a in ANSWERS]
)
def test_which_answers_are_accepted(step: Step, kind: AttemptKind) -> None:
    result = call(RawServer([step]), make_calls())
    assert result.kind is kind
    if kind is AttemptKind.ANSWERED and result.status == 200:
        assert isinstance(result.body, BufferedAnswer)
        assert b"".join(result.body.chunks()) == b"ok"


REUSE = [
    ("kept", [Step(GOOD)] * 3, True, 0.0, 1),
    ("unsafe, just used", [Step(GOOD)] * 3, False, 0.0, 1),
    ("unsafe, idle for too long", [Step(GOOD)] * 2, False, UNSAFE_IDLE_S + 0.1, 2),
    ("closed by the server", [Step(GOOD, "close")] * 2, True, 0.05, 2),
    ("more bytes with the answer", [Step(GOOD + GOOD), Step(GOOD)], True, 0.05, 2),
    ("more bytes later", [Step(GOOD, "", GOOD), Step(GOOD)], True, 0.05, 2),
    (
        "Connection: close",
        [Step(GOOD.replace(b"Id", b"Connection: close\r\nId"))] * 2,
        True,
        0.0,
        2,
    ),
]


@pytest.mark.parametrize(
    ("steps", "is_repeatable", "idle_s", "connections"),
    [r[1:] for r in REUSE],
    ids=[r[0] for r in REUSE],
)
def test_which_connections_are_reused(
    steps: list[Step], is_repeatable: bool, idle_s: float, connections: int
) -> None:
    raw = RawServer(steps)
    calls = make_calls()
    for _ in steps:
        result = call(raw, calls, is_repeatable=is_repeatable)
        assert result.kind is AttemptKind.ANSWERED
        eventlet.sleep(idle_s)
    assert raw.connections == connections


def test_a_refused_connection_is_not_connected() -> None:
    raw = RawServer([])
    server = raw.server
    raw.socket.close()
    head = RequestHead("1", "GET", "h", "/", "", (), "", None, 0.0, 1e9)
    result = make_calls().call(server, head, BufferedBody(b""), True)
    assert result.kind is AttemptKind.NOT_CONNECTED
