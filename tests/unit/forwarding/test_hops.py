"""Check the hop between two daemons, with connections that break."""

import contextlib
import socket
from threading import Thread
from threading import Timer
from typing import Any

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peer_front import PeerFront
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.gossip.rows import Life
from pimentobend_core._internal.gossip.rows import PeerRow
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
    """Answer after a while, and count the runs."""

    def __init__(self, hold_s: float = 0.0) -> None:
        super().__init__(NAMES, HubClock(), lambda: None)
        self.hold_s = hold_s
        self.runs: list[str] = []
        self.ended: list[str] = []

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        self.runs.append(head.request_id)
        eventlet.sleep(self.hold_s)
        self.ended.append(head.request_id)
        return make_attempt_result(
            AttemptKind.ANSWERED, 0.0, 200, (), BufferedAnswer(b"ok")
        )


class Proxy:
    """Pass bytes on between a client and a server, and break connections.

    It runs on threads of its own, as another process would.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]
        self.breaks_after: list[float] = []  # seconds, one a connection
        self.loses_answers = 0  # connections
        Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Take no new connections."""
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
                Thread(target=self._copy, args=pair, daemon=True).start()
            if self.breaks_after:
                wait_s = self.breaks_after.pop(0)
                Timer(wait_s, self._break, (client, server)).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(4096):
                target.sendall(piece)
        self._break(source, target)

    def _break(self, *sockets: socket.socket) -> None:
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


class Pair:
    """Hold an origin's client and a host behind a proxy."""

    def __init__(self, hold_s: float = 0.0) -> None:
        clock = HubClock()
        self.calls = FakeCalls(hold_s)
        self.host = HostTasks(PROCESS, TERMS, self.calls, clock, Discard())
        self.host.start()
        self.host.update_server(SERVER)
        front = PeerFront(PROCESS, self.host, NAMES, clock)
        self.server = HttpServer(Address("127.0.0.1", 0), front)
        self.server.start()
        self.proxy = Proxy(self.server.address)
        link: Any = None
        self.client = PeerClient(clock, link)
        self.clock = clock

    def attempt(self, name: str, *, safe: bool = False) -> LocalAttempt:
        deadline = self.clock.now() + WAIT_S
        submit = Submit(name, "s", "r", 1, safe, 1.0, deadline, name)
        head = RequestHead(
            name, "POST", "h", "/x", "", (("Id", name),), "", None, 0.0, deadline
        )
        return LocalAttempt(submit, head, BufferedBody(b"body"))

    def run(
        self, name: str, process: int = PROCESS, *, safe: bool = False
    ) -> AttemptResult:
        peer = PeerRow(
            "127.0.0.1:1",
            Life(1, 0),
            process,
            "a",
            "r",
            False,
            self.proxy.port,
            False,
            (),
        )
        with eventlet.Timeout(2 * WAIT_S):
            return self.client.run(peer, self.attempt(name, safe=safe))


BREAKS = [
    ("none", 0.0, [], 0),
    ("while it runs", 0.4, [0.1], 0),
    ("twice while it runs", 0.6, [0.1, 0.1], 0),
    ("the answer is lost", 0.1, [0.3], 1),
]


@pytest.mark.parametrize(
    ("hold_s", "breaks_after", "loses"),
    [b[1:] for b in BREAKS],
    ids=[b[0] for b in BREAKS],
)
def test_an_attempt_runs_once_whatever_breaks(
    hold_s: float, breaks_after: list[float], loses: int
) -> None:
    pair = Pair(hold_s)
    pair.proxy.breaks_after = breaks_after
    pair.proxy.loses_answers = loses
    attempted = pair.run("1")
    assert (attempted.kind, attempted.status) == (AttemptKind.ANSWERED, 200)
    assert pair.calls.runs == ["1"]


def test_nothing_listens() -> None:
    pair = Pair()
    pair.proxy.stop()
    assert pair.run("1").kind is AttemptKind.NOT_CONNECTED


@pytest.mark.parametrize(
    ("breaks_after", "kind"),
    [([], AttemptKind.DECLINED), ([0.1], AttemptKind.NO_ANSWER)],
)
def test_another_process_has_not_run_what_was_sent_once(
    breaks_after: list[float], kind: AttemptKind
) -> None:
    pair = Pair()
    pair.proxy.loses_answers = len(breaks_after)
    pair.proxy.breaks_after = breaks_after
    assert pair.run("1", process=8).kind is kind
    assert pair.calls.runs == []


@pytest.mark.parametrize(("safe", "ends"), [(True, False), (False, True)])
def test_an_origin_that_goes_away(safe: bool, ends: bool) -> None:
    pair = Pair(hold_s=1.0)
    greenlet = eventlet.spawn(pair.run, "1", safe=safe)
    eventlet.sleep(0.3)
    greenlet.kill()
    eventlet.sleep(1.2)
    assert pair.calls.runs == ["1"]
    assert pair.calls.ended == ["1"] * ends


def test_a_copy_that_comes_after_the_result_was_forgotten_does_not_run() -> None:
    pair = Pair()
    attempt = pair.attempt("1")
    assert pair.host.run(attempt).kind is AttemptKind.ANSWERED
    pair.host._records.clear()
    with eventlet.Timeout(WAIT_S):
        assert pair.host.run(attempt).kind is AttemptKind.NO_ANSWER
    assert pair.calls.runs == ["1"]
