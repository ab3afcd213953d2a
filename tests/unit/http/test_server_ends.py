"""Test how an attempt tells a server that has ended from a lost answer."""

import socket
import struct
import threading
import time
from collections.abc import Callable

import eventlet
import pytest
from fake_ports import FakeBody
from fake_ports import make_head
from fake_ports import make_server

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.backend import BackendClient
from pimentobend_core._internal.models.request import AttemptKind

REMAINING_S = 0.5
# With this SO_LINGER value, close() sends a reset.
LINGER_NONE = struct.pack("ii", 1, 0)

Handler = Callable[[socket.socket, socket.socket], None]


def _close(listener: socket.socket, connection: socket.socket) -> None:
    connection.close()


def _reset(listener: socket.socket, connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    connection.close()


def _end(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    connection.close()


def _end_late(listener: socket.socket, connection: socket.socket) -> None:
    connection.close()
    listener.close()


def _end_with_reset(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    _reset(listener, connection)


def _answer_nonsense(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    connection.sendall(b"nonsense\r\n\r\n")
    connection.close()


def _cut_head(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Le")
    connection.close()


def _hang(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    time.sleep(2 * REMAINING_S)
    connection.close()


def _answer(listener: socket.socket, connection: socket.socket) -> None:
    listener.close()
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    connection.close()


CASES: list[tuple[str, Handler, AttemptKind, bool]] = [
    ("closed, lives", _close, AttemptKind.NO_ANSWER, False),
    ("reset, lives", _reset, AttemptKind.NO_ANSWER, False),
    ("closed, ended", _end, AttemptKind.NO_ANSWER, True),
    ("closed, then ended", _end_late, AttemptKind.NO_ANSWER, True),
    ("reset, ended", _end_with_reset, AttemptKind.NO_ANSWER, True),
    ("cut in its head, ended", _cut_head, AttemptKind.NO_ANSWER, True),
    ("nonsense, ended", _answer_nonsense, AttemptKind.NO_ANSWER, False),
    ("hangs", _hang, AttemptKind.NO_ANSWER, False),
    ("answered, ended", _answer, AttemptKind.ANSWERED, False),
]


@pytest.mark.parametrize(
    ("handler", "kind", "has_ended"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
@pytest.mark.parametrize("is_repeatable", [False, True], ids=["once", "repeatable"])
def test_only_a_cut_and_a_refusal_show_an_end(
    handler: Handler, kind: AttemptKind, has_ended: bool, is_repeatable: bool
) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]

    def serve() -> None:
        connection, _ = listener.accept()
        connection.recv(65536)
        handler(listener, connection)

    thread = threading.Thread(target=serve)
    thread.start()
    clock = HubClock()
    head = make_head()._replace(deadline=clock.now() + REMAINING_S)
    server = make_server("s")._replace(port=port)
    result = BackendClient(clock).send(server, head, FakeBody(), is_repeatable)
    thread.join()
    listener.close()
    assert (result.kind, result.has_server_ended) == (kind, has_ended)


def test_server_that_cannot_be_reached_ran_nothing() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    server = make_server("s")._replace(port=listener.getsockname()[1])
    listener.close()
    clock = HubClock()
    head = make_head()._replace(deadline=clock.now() + REMAINING_S)
    result = BackendClient(clock).send(server, head, FakeBody(), True)
    assert result.kind is AttemptKind.NOT_CONNECTED
    assert not result.has_server_ended


@pytest.mark.parametrize(
    ("is_reset", "ended_after_s"),
    [(True, 0.005), (True, 0.03), (False, 0.03)],
    ids=["before the first probe", "before the second probe", "no answer yet"],
)
def test_attempt_that_the_process_ends_has_a_result(
    is_reset: bool, ended_after_s: float
) -> None:
    # What leaves send() as an exception settles no slot and no claim, and its caller
    # gets no answer of the daemon. A server that crashes in the last moments of a stop
    # is probed (10 and 60 ms after the reset) when end_attempts() comes.
    listener = eventlet.listen(("127.0.0.1", 0))
    client = BackendClient(HubClock())

    def serve() -> None:
        connection, _ = listener.accept()
        connection.recv(65536)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            connection.close()
        eventlet.sleep(ended_after_s)
        client.end_attempts()
        eventlet.sleep(REMAINING_S)
        connection.close()

    server_greenlet = eventlet.spawn(serve)
    clock = HubClock()
    started = clock.now()
    head = make_head()._replace(deadline=started + 4 * REMAINING_S)
    server = make_server("s")._replace(port=listener.getsockname()[1])
    result = client.send(server, head, FakeBody(), True)
    server_greenlet.kill()
    listener.close()
    assert (result.kind, result.is_broken) == (AttemptKind.NO_ANSWER, is_reset)
    assert not result.has_server_ended
    assert clock.now() < started + 2 * REMAINING_S
