"""Stop a daemon of the platform while a request's body is still being read.

It was cut off without an answer at the end of the grace time, though no server had
got it.
"""

import contextlib
import pathlib
import signal
import socket
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import wait_until
from platform_server import PREFIX

TIMEOUT_S = 12.0
HEAD = f"POST /book/1 HTTP/1.1\r\nHost: a.example\r\n{PREFIX}Request-Id: half\r\n"
UNREAD = [
    ("with a length", f"{HEAD}Content-Length: 10\r\n\r\nhello"),
    ("chunked", f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
]


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    running = Fleet(tmp_path)
    try:
        running.start()
        yield running
    finally:
        with contextlib.suppress(OSError):
            running.stop()


def test_requests_whose_bodies_are_unread_at_the_end_are_refused(fleet: Fleet) -> None:
    first, second = fleet.instances
    host, _, port = first.address(8400).rpartition(":")
    with contextlib.ExitStack() as stack:
        connections = []
        for _, text in UNREAD:
            connection = socket.create_connection((host, int(port)), TIMEOUT_S)
            connections.append(stack.enter_context(connection))
            connection.sendall(text.encode())
        assert first.request().status == 200
        wait_until(lambda: first.is_ready(), "it is ready")
        first.signal(signal.SIGTERM)
        answers = [_read_all(connection) for connection in connections]
    assert first.wait() == 0
    for (name, _), answer in zip(UNREAD, answers, strict=True):
        head = answer.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
        assert head[0].startswith(b"http/1.1 503 "), name
        assert b"pimentobend-ran: not-run" in head, name
        assert b"connection: close" in head, name
    for each in (first, second):
        assert each.server is not None
        assert "half" not in each.server.ran


def _read_all(connection: socket.socket) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionError):
        while piece := connection.recv(65536):
            received += piece
    return received
