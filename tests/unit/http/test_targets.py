"""Send request targets that the standard library's parser changes."""

import eventlet
import pytest
from kept_connection import Client
from kept_connection import OwnClient
from kept_connection import PlatformClient
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.traffic.routing import RouteMatcher

WAIT_S = 2.0
RECEIVE_BYTES = 65536
ROUTE = Route("r", "h", "/look/", (), "p", True, 1000)


class Recorder(Filter[Received, Finished]):
    """Records the paths that pass through the front."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        front = CallerFront(self, HubClock(), Discard())
        self.server = HttpServer(Address("127.0.0.1", 0), front)
        self.server.start()

    def apply(self, value: Received) -> Result[Finished, Refusal]:
        self.paths.append(value.head.path)
        return Failure(Refusal(503, Ran.NOT_RUN, RefusalReason.DRAINING, "refused"))

    def send(self, target: str) -> None:
        """Send a request and wait for its answer."""
        connection = eventlet.connect(tuple(self.server.address))
        connection.sendall(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        with eventlet.Timeout(WAIT_S):
            assert connection.recv(RECEIVE_BYTES).startswith(b"HTTP/1.1 503 ")
        connection.close()


TARGETS = [  # target, path, and whether the route matches
    ("/look/d", "/look/d", True),
    ("//look/d", "//look/d", False),
    ("///look/d?x=//y", "///look/d", False),
    ("/look//d", "/look//d", True),
    ("//", "//", False),
]


@pytest.mark.parametrize(("target", "path", "matches"), TARGETS)
def test_a_path_is_routed_as_it_was_sent(target: str, path: str, matches: bool) -> None:
    recorder = Recorder()
    recorder.send(target)
    assert recorder.paths == [path]
    matcher = RouteMatcher(Tables(1, 1, (ROUTE,), ()))
    assert (matcher.match("GET", "h", recorder.paths[0]) is not None) == matches


SENT = {  # path and query as they were received, and as they arrive on both interfaces
    "ASCII": ("/look/d", "x=%C3%A9", b"/look/d?x=%C3%A9", b"/look/d?x=%C3%A9"),
    "UTF-8": ("/r\xc3\xa9", "", b"/r\xc3\xa9", b"/r%C3%A9"),
    "Latin-1": ("/r\xe9", "q=\xe9", b"/r\xe9?q=\xe9", b"/r%E9?q=%E9"),
    "no text": ("/\xff\xfe", "\x80", b"/\xff\xfe?\x80", b"/%FF%FE?%80"),
}


@pytest.mark.parametrize("create_client", [PlatformClient, OwnClient])
@pytest.mark.parametrize(("path", "query", "raw", "escaped"), SENT.values(), ids=SENT)
def test_bytes_beyond_ascii_reach_the_server(
    path: str, query: str, raw: bytes, escaped: bytes, create_client: type[Client]
) -> None:
    """Guards against targets that end their attempt, or arrive as another one."""
    listener = eventlet.listen(("127.0.0.1", 0))
    received: list[bytes] = []

    def serve() -> None:
        connection, _ = listener.accept()
        received.append(connection.recv(RECEIVE_BYTES).split(b" ", 2)[1])
        head = f"HTTP/1.1 200 OK\r\n{create_client.id_header}: 1\r\nStamp: 1\r\n"
        connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())

    eventlet.spawn_n(serve)
    port = listener.getsockname()[1]
    server = Server("s", "x", "127.0.0.1", port, 2, "a", "r", ServerState.READY, 1)
    deadline = HubClock().now() + WAIT_S
    head = RequestHead("1", "GET", "h", path, query, (), "", None, 0.0, deadline)
    result = create_client().send(server, head)
    assert result.kind is AttemptKind.ANSWERED
    assert received == [raw if create_client is PlatformClient else escaped]
