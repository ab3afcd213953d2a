"""Servers that answer kept connections with raw bytes, and calls by both clients."""

import abc
import enum
import socket
import struct
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import eventlet

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.http.backend import BackendClient
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AttemptResult

NAMES = HeaderNames(
    request_id="Id", not_run="Not-Run", expected_server="Expect", stamp="Stamp"
)
RECEIVE_BYTES = 65536
RESET_AFTER_S = 0.002  # the bytes before a reset have been received by then


class Client(abc.ABC):
    """One of the two clients that call backend servers."""

    id_header: str
    refusal_header: str
    probes = 0  # connections without a request that follow a broken one

    @abc.abstractmethod
    def send(self, server: Server, head: RequestHead) -> AttemptResult:
        """Send a repeatable request and return its result."""

    def call(self, server: Server, request_id: str, wait_s: float) -> AttemptResult:
        """Send a request that must be answered within ``wait_s`` seconds."""
        deadline = HubClock().now() + wait_s
        head = RequestHead(
            request_id, "GET", "h", "/x", "", (), "", None, 0.0, deadline
        )
        return self.send(server, head)


class PlatformClient(Client):
    """The client of the platform's path, limited by its host as in the daemon."""

    id_header = "Id"
    refusal_header = "Not-Run: 1"

    def __init__(self) -> None:
        self._calls = ServerCalls(NAMES, HubClock(), lambda: None)

    def send(self, server: Server, head: RequestHead) -> AttemptResult:
        with eventlet.Timeout(head.deadline - HubClock().now()):
            return self._calls.call(server, head, BufferedBody(b""), True)


class OwnClient(Client):
    """The client of the own interface."""

    id_header = "Pimentobend-Request-Id"
    refusal_header = "Pimentobend-Ran: not-run"
    probes = 2

    def __init__(self) -> None:
        self._client = BackendClient(HubClock())

    def send(self, server: Server, head: RequestHead) -> AttemptResult:
        return self._client.send(server, head, BufferedBody(b""), True)


class Answer(NamedTuple):
    """Head and body of an answer; ``request_id`` is empty if it names none."""

    status: int = 200
    request_id: str = ""
    is_refusal: bool = False
    body: bytes = b"ok"
    extra: bytes = b""  # sent after the answer

    def encode(self, client: Client) -> bytes:
        """Return the bytes in the words of a client's interface."""
        head = f"HTTP/1.1 {self.status} X\r\nContent-Length: {len(self.body)}\r\n"
        head += "Stamp: s\r\n"
        if self.request_id:
            head += f"{client.id_header}: {self.request_id}\r\n"
        if self.is_refusal:
            head += f"{client.refusal_header}\r\n"
        return head.encode() + b"\r\n" + self.body + self.extra


class Ending(enum.Enum):
    """How a server ends a connection after some bytes."""

    CLOSE = "close"
    RESET = "reset"


class Broken(NamedTuple):
    """Bytes after which the server ends the connection."""

    data: bytes
    ending: Ending


Step = bytes | Broken | Callable[[], bytes]


class ScriptedServer:
    """Answers the requests of its connections with the next bytes of a script.

    Bytes of a callable are sent again and again until the connection closes.
    """

    def __init__(self, script: Sequence[Step]) -> None:
        self._script = list(script)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.connections = 0  # that carried a request
        self.accepted = 0
        self.sent_bytes = 0
        eventlet.spawn_n(self._accept)

    @property
    def server(self) -> Server:
        """Return the server's row."""
        port = self._listener.getsockname()[1]
        return Server("s", "x", "127.0.0.1", port, 3, "a", "r", ServerState.READY, 1)

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            self.accepted += 1
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: Any) -> None:
        is_used = False
        try:
            while self._script:
                received = b""
                while b"\r\n\r\n" not in received:
                    piece = connection.recv(RECEIVE_BYTES)
                    if not piece:
                        return
                    self.connections += not is_used
                    is_used = True
                    received += piece
                step = self._script.pop(0)
                if isinstance(step, Broken):
                    self._break(connection, step)
                    return
                self._answer(connection, step)
        except OSError:
            return

    def _break(self, connection: Any, step: Broken) -> None:
        connection.sendall(step.data)
        if step.ending is Ending.RESET:
            eventlet.sleep(RESET_AFTER_S)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        connection.close()

    def _answer(self, connection: Any, step: bytes | Callable[[], bytes]) -> None:
        if isinstance(step, bytes):
            connection.sendall(step)
            return
        while True:
            data = step()
            connection.sendall(data)
            self.sent_bytes += len(data)
