"""Stop a daemon of the platform with requests that are unread, or run too long.

They were cut off without an answer at the end of the grace time, also those that no
server had got.
"""

import contextlib
import pathlib
import signal
import socket
import threading
import time
from collections.abc import Iterator

import pytest
from platform_fleet import GRACE_S
from platform_fleet import Fleet
from platform_fleet import Process
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Answer
from platform_server import PREFIX

TIMEOUT_S = 12.0
HELD_S = 9.0  # longer than the grace time
LARGE_BYTES = 32 * 1024 * 1024  # more than the connections on its way can buffer
LAST_MOMENT_S = 0.35  # before the end of the grace time
LATE_S = 2.9  # later than probes notice a stop, long before requests are given up
QUICK_ANSWERS = 40  # after which hosts expect quick answers of a route
READ_AFTER_S = 2.9  # later than a daemon without work ends
HEAD = f"POST /book/1 HTTP/1.1\r\nHost: a.example\r\n{PREFIX}Request-Id: half\r\n"
UNREAD = [
    ("with a length", f"{HEAD}Content-Length: 10\r\n\r\nhello"),
    ("chunked", f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
]


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


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


def test_a_request_that_outlasts_the_grace_time_is_answered(fleet: Fleet) -> None:
    first, second = fleet.instances
    for each in (first, second):
        assert each.server is not None
        each.server.hold_s = HELD_S
    host, _, port = first.address(8400).rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(f"{HEAD}Content-Length: 0\r\n\r\n".encode())
        wait_until(lambda: _has_run(first, "half") or _has_run(second, "half"), "runs")
        first.signal(signal.SIGTERM)
        answer = _read_all(connection)
    assert first.wait() == 0
    head = answer.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
    assert head[0].startswith(b"http/1.1 502 ")
    assert b"pimentobend-ran: unknown" in head
    assert b"connection: close" in head


@pytest.mark.parametrize("is_origin_stopping", [False, True])
def test_a_run_that_ends_just_within_the_grace_time_is_answered(
    fleet: Fleet, is_origin_stopping: bool
) -> None:
    """The daemon beside the server gave up the run 0.6 s before its own end."""
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    host.server.hold_s = GRACE_S - LAST_MOMENT_S
    answers: list[Answer] = []
    booking = threading.Thread(
        target=lambda: answers.append(origin.request("/book/1", "POST", "long"))
    )
    booking.start()
    wait_until(lambda: _has_run(host, "long"), "its server runs it")
    host.signal(signal.SIGTERM)
    if is_origin_stopping:
        time.sleep(0.5)
        origin.signal(signal.SIGTERM)
    booking.join()
    assert answers[0].status == 200
    assert f"{PREFIX}Server-Stamp".lower() in answers[0].headers


def test_a_booking_that_comes_late_in_a_stop_is_not_begun(fleet: Fleet) -> None:
    """Guards against a run that a stopping daemon takes late and then gives up."""
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    for number in range(QUICK_ANSWERS):
        answer = origin.request(f"/book/{number}", "POST", f"quick-{number}")
        assert answer.status == 200
    host.server.hold_s = HELD_S
    name, _, port = origin.address(8400).rpartition(":")
    with socket.create_connection((name, int(port)), TIMEOUT_S) as connection:
        # A request that is not read yet keeps the daemon from ending early.
        connection.sendall(UNREAD[0][1].encode())
        origin.signal(signal.SIGTERM)
        time.sleep(LATE_S)
        late = origin.request("/book/1", "POST", "late")
    assert late.status == 503
    assert late.headers["pimentobend-ran"] == "not-run"
    assert "retry-after" in late.headers
    assert not _has_run(host, "late")


def test_a_booking_whose_call_hangs_ends_with_its_servers_answer(fleet: Fleet) -> None:
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    host.server.hangs_on = "/look"
    host.server.call = lambda path: (
        not path.startswith("/book") or host.request("/look/1").status == 200
    )
    answers: list[Answer] = []
    booking = threading.Thread(
        target=lambda: answers.append(origin.request("/book/1", "POST", "parent"))
    )
    booking.start()
    wait_until(lambda: host.server.ran[-2:] == ["parent", "1"], "its server has called")
    host.signal(signal.SIGTERM)
    time.sleep(0.5)
    origin.signal(signal.SIGTERM)
    booking.join()
    assert answers[0].status == 500
    assert f"{PREFIX}Server-Stamp".lower() in answers[0].headers


def test_an_answer_that_is_read_slowly_is_not_cut_off(fleet: Fleet) -> None:
    # The host has the result, but still writes the answer to the origin, when it could
    # end as idle (after 2.6 s).
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    host.server.content = bytes(LARGE_BYTES)
    name, _, port = origin.address(8400).rpartition(":")
    with socket.create_connection((name, int(port)), TIMEOUT_S) as connection:
        head = f"{HEAD}Connection: close\r\nContent-Length: 0\r\n\r\n"
        connection.sendall(head.encode())
        received = connection.recv(65536)
        assert host.server.ran[-1] == "half"
        host.signal(signal.SIGTERM)
        time.sleep(READ_AFTER_S)
        received += _read_all(connection)
    answer_head, _, body = received.partition(b"\r\n\r\n")
    assert answer_head.startswith(b"HTTP/1.1 200 ")
    assert body.count(0) == LARGE_BYTES
    assert host.wait() == 0


def _has_run(process: Process, request_id: str) -> bool:
    return process.server is not None and request_id in process.server.ran


def _read_all(connection: socket.socket) -> bytes:
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while piece := connection.recv(65536):
            received += piece
    return bytes(received)
