"""Hold many connections with bodies that do not move, and measure a daemon's memory.

Each kept up to 64 KB of a request or 256 KB of an answer, and several MB in the kernel,
for up to 75 s, without a bound on their sum.
"""

import contextlib
import http.client
import pathlib
import socket
import time
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Process
from platform_process import ask
from platform_server import PREFIX

MEMORY_MB = 80  # of which 16 may be reserved
UPLOADS = 500  # of 60 KB each in a daemon: 30 MB
UPLOAD_BYTES = 60_000
READERS = 150  # of an answer of 2 MB each
ANSWER = bytes(2 * 1024 * 1024)
PAUSE_S = 0.02  # the fake servers have room for 5 connections that wait
STALLED_S = 12.0  # a caller is cut off after 5 s without a byte
SLOTS = 160


def memory_kb(process: Process) -> int:
    """Return the most memory that a daemon has taken, in KB."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = (each for each in status.splitlines() if each.startswith("VmHWM:"))
    return int(line.split()[1])


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    shape = FleetShape(slots=SLOTS, has_server_proxies=False, memory_mb=MEMORY_MB)
    with run_fleet(tmp_path, shape) as running:
        yield running


def open_request(process: Process, line: str, length: int) -> socket.socket:
    """Send the head of a request on a connection with a small receive buffer."""
    host, _, port = process.address(8400).rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(10.0)
    connection.connect((host, int(port)))
    head = f"{line} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n"
    connection.sendall(
        f"{head}{PREFIX}Deadline-Ms: 30000\r\nConnection: close\r\n\r\n".encode()
    )
    return connection


def test_uploads_beyond_the_budget_are_refused_unread(fleet: Fleet) -> None:
    origin = fleet.instances[0]
    refused = 0
    with contextlib.ExitStack() as stack:
        for _ in range(UPLOADS):
            connection = open_request(origin, "POST /book/1", UPLOAD_BYTES)
            stack.callback(connection.close)
            try:
                connection.sendall(bytes(UPLOAD_BYTES - 1))
                connection.settimeout(0.01)
                response = http.client.HTTPResponse(connection)
                response.begin()
            except TimeoutError:
                continue  # the daemon waits for the last byte
            assert response.status == 503
            assert response.headers["Pimentobend-Reason"] == "no-memory"
            assert response.headers["Pimentobend-Ran"] == "not-run"
            assert response.headers["Retry-After"]
            assert response.headers["Connection"] == "close"
            refused += 1
        # Lookups are served, and no more is held than the budget allows.
        assert origin.request().status == 200
        peak_kb = memory_kb(origin)
    assert UPLOADS / 4 < refused < UPLOADS
    assert peak_kb < MEMORY_MB * 1024
    wait_until(lambda: "memory-refused" in origin.log(), "the refusals are logged")
    body = bytes(UPLOAD_BYTES)
    headers = {"Host": "a.example"}
    wait_until(
        lambda: (
            ask(origin.address(8400), "POST", "/book/1", body, headers).status == 200
        ),
        "the memory of the callers that left is free",
    )


def test_callers_that_take_nothing_are_cut_off(fleet: Fleet) -> None:
    origin, host = fleet.instances
    for each in fleet.instances:
        assert each.server is not None
        each.server.content = ANSWER
    with contextlib.ExitStack() as stack:
        connections = []
        for _ in range(READERS):
            connection = open_request(origin, "GET /look/1", 0)
            stack.callback(connection.close)
            connections.append(connection)
            time.sleep(PAUSE_S)
        time.sleep(STALLED_S)
        peaks_kb = [memory_kb(each) for each in (origin, host)]
        received = [read_to_end(connection) for connection in connections]
    sizes = [size for size, start in received if b"no-memory" not in start]
    # Each caller sees that its answer is not whole, or that its request did not run.
    assert 64 * 1024 < min(sizes) <= max(sizes) < len(ANSWER)
    assert len(sizes) > READERS / 3
    assert max(peaks_kb) < MEMORY_MB * 1024
    answer = ask(origin.address(8400), "GET", "/look/1", b"", {"Host": "a.example"})
    assert (answer.status, answer.body) == (200, ANSWER)


def read_to_end(connection: socket.socket) -> tuple[int, bytes]:
    """Return the number of bytes that come until the end, and the first of them."""
    size, start = 0, b""
    with contextlib.suppress(ConnectionError):
        while chunk := connection.recv(65536):
            size += len(chunk)
            start = start or chunk
    return size, start
