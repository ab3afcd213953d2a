"""A client and a host daemon with a proxy between them that breaks connections."""

import contextlib
import socket
from threading import Event
from threading import Thread
from threading import Timer
from typing import Any

import eventlet

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.host import HostOptions
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peer_front import PeerFront
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

PROCESS = 7
TERMS = BudgetTerms(0.2, 10.0, 50.0)
SERVER = Server("s", "x", "127.0.0.1", 1, 2, "a", "r", ServerState.READY, 1)
NAMES = HeaderNames(request_id="Id")
WAIT_S = 5.0


class FakeCalls(ServerCalls):
    """Answers each call after ``hold_s`` and records it."""

    def __init__(self, hold_s: float = 0.0) -> None:
        super().__init__(NAMES, HubClock(), lambda: None)
        self.hold_s = hold_s
        self.content = b"ok"
        self.runs: list[str] = []
        self.ended: list[str] = []

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        self.runs.append(head.request_id)
        eventlet.sleep(self.hold_s)
        self.ended.append(head.request_id)
        return make_attempt_result(
            AttemptKind.ANSWERED, 0.0, 200, (), BufferedAnswer(self.content)
        )


class Proxy:
    """A TCP proxy that breaks connections on demand.

    Uses threads of its own, so that it runs independently as another process would.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]
        # Seconds after which each of the next connections is broken.
        self.breaks_after: list[float] = []
        self.reads_answers = Event()  # while it is not set, answers wait
        self.reads_answers.set()
        self.loses_answers = 0  # number of next connections whose answers are dropped
        Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Accept no new connections."""
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError:
                return
            server = socket.create_connection(tuple(self._target))
            pairs = [(client, server)]
            if self.loses_answers:
                self.loses_answers -= 1
            else:
                pairs.append((server, client))
            for pair in pairs:
                Thread(target=self._copy, args=(*pair, server), daemon=True).start()
            if self.breaks_after:
                wait_s = self.breaks_after.pop(0)
                Timer(wait_s, self._break, (client, server)).start()

    def _copy(
        self, source: socket.socket, target: socket.socket, server: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(4096):
                target.sendall(piece)
                if source is server:
                    self.reads_answers.wait()
        self._break(source, target)

    def _break(self, *sockets: socket.socket) -> None:
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


def make_attempt(name: str, *, safe: bool = False) -> LocalAttempt:
    deadline = HubClock().now() + WAIT_S
    submit = Submit(name, "s", "r", 1, safe, 1.0, deadline, name)
    head = RequestHead(
        name, "POST", "h", "/x", "", (("Id", name),), "", None, 0.0, deadline
    )
    return LocalAttempt(submit, head, BufferedBody(b"body"))


class HopHarness:
    """A client and a host daemon behind a proxy."""

    def __init__(
        self,
        hold_s: float = 0.0,
        calls: ServerCalls | None = None,
        memory: MemoryOwner | None = None,
    ) -> None:
        clock = HubClock()
        self.calls: Any = calls or FakeCalls(hold_s)
        options = HostOptions(memory)
        self.host = HostTasks(
            PROCESS, TERMS, self.calls, clock, Discard(), options=options
        )
        self.host.start()
        self.host.update_server(SERVER)
        self.front = PeerFront(PROCESS, self.host, NAMES, clock, memory)
        self.server = HttpServer(Address("127.0.0.1", 0), self.front)
        self.server.start()
        self.proxy = Proxy(self.server.address)
        link: Any = None
        self.client = PeerClient(clock, link)
        self.clock = clock

    def run(
        self, name: str, process: int = PROCESS, *, safe: bool = False
    ) -> AttemptResult:
        peer = PeerRow(
            "127.0.0.1:1",
            RowVersion(1, 0),
            process,
            "a",
            "r",
            False,
            self.proxy.port,
            False,
            (),
        )
        with eventlet.Timeout(2 * WAIT_S):
            return self.client.run(peer, make_attempt(name, safe=safe))
