"""Let callers leave while their requests wait, or while their answers are on the way.

A close that came behind bytes which nobody read was not noticed, so that requests of
callers that had left ran; and nobody looked for it once an answer had begun, so that
servers went on with long answers.
"""

import socket
import struct
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from platform_fleet import BID_S
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Process
from platform_server import PREFIX
from platform_server import PlatformServer
from platform_server import RunEnd

HOLD_S = 3.0  # for which the only slot is taken
LONG_S = 6.0  # of work within an answer
DEADLINE_MS = 15_000
LARGE_ANSWER = bytes(300_000)
CHUNK = 10_000
RESET = struct.pack("ii", 1, 0)  # linger for no time
LEFT = "'caller-left'"


class RequestShape(NamedTuple):
    """How a request is sent, and how its caller leaves."""

    name: str
    body_bytes: int = 0
    is_chunked: bool = False
    expects_continue: bool = False
    resets: bool = False
    more: bytes = b""  # sent behind the request


SHAPES = [
    RequestShape("small"),
    RequestShape("pipelined", more=b"GET /look/2 HTTP/1.1\r\nHost: a.example\r\n\r\n"),
    RequestShape("length", 100_000),
    RequestShape("chunks", 100_000, is_chunked=True),
    RequestShape("continue", 100_000, expects_continue=True),
    RequestShape("reset", 100_000, resets=True),
    RequestShape("reset-chunks", 100_000, is_chunked=True, resets=True),
    RequestShape("1mb", 1_000_000),
    RequestShape("1mb-chunks", 1_000_000, is_chunked=True),
    RequestShape("1mb-reset", 1_000_000, resets=True),
]
# Which of the two servers runs nothing: the daemon's own, or that of another daemon.
DRAINED = [(1, "local"), (0, "remote")]


def name_of(shape: RequestShape) -> str:
    return shape.name


@pytest.fixture(
    scope="module", params=[d[0] for d in DRAINED], ids=[d[1] for d in DRAINED]
)
def fleet(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Fleet]:
    """Run a fleet with one server of one slot that is not drained."""
    shape = FleetShape(slots=1, has_server_proxies=False, memory_mb=150)
    with run_fleet(tmp_path_factory.mktemp("fleet"), shape) as running:
        drained = running.instances[request.param].server
        assert drained is not None
        drained.state = "draining"
        wait_until(lambda: drained.beat() == 200, "one server is draining")
        yield running


def servers(fleet: Fleet) -> list[PlatformServer]:
    return [each.server for each in fleet.instances if each.server is not None]


def make_head(request_id: str, line: str, shape: RequestShape) -> bytes:
    lines = [
        f"{line} HTTP/1.1",
        "Host: a.example",
        f"{PREFIX}Request-Id: {request_id}",
        f"{PREFIX}Deadline-Ms: {DEADLINE_MS}",
    ]
    if shape.expects_continue:
        lines.append("Expect: 100-continue")
    if shape.is_chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {shape.body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


def make_body(shape: RequestShape) -> bytes:
    if not shape.is_chunked:
        return bytes(shape.body_bytes)
    chunk = b"%x\r\n%s\r\n" % (CHUNK, bytes(CHUNK))
    return chunk * (shape.body_bytes // CHUNK) + b"0\r\n\r\n"


def send(
    process: Process, request_id: str, line: str, shape: RequestShape
) -> socket.socket:
    """Send a whole request; return its connection."""
    connection = socket.create_connection((process.ip, 8400), timeout=30.0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_000_000)
    connection.sendall(make_head(request_id, line, shape))
    if shape.expects_continue:
        assert connection.recv(1000).startswith(b"HTTP/1.1 100")
    connection.sendall(make_body(shape) + shape.more)
    return connection


def leave(connection: socket.socket, *, resets: bool) -> None:
    if resets:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


def lines_of(process: Process, request_id: str, text: str) -> list[str]:
    """Return the log lines that name a request and hold a text."""
    marker = f"request_id='{request_id}'"
    lines = process.log().splitlines()
    return [line for line in lines if marker in line and text in line]


@pytest.mark.parametrize("shape", SHAPES, ids=name_of)
def test_a_request_of_a_caller_that_left_does_not_run(
    fleet: Fleet, shape: RequestShape
) -> None:
    origin = fleet.instances[0]
    busy_id, left_id = f"{shape.name}-busy", f"{shape.name}-left"
    line = f"POST /book/1?hold={HOLD_S}"
    with send(origin, busy_id, line, RequestShape("busy")) as busy:
        wait_until(lambda: has_run(fleet, busy_id), "the only slot is taken")
        left = send(origin, left_id, "POST /book/1", shape)
        wait_until(lambda: lines_of(origin, left_id, "'attempt-sent'"), "it waits")
        leave(left, resets=shape.resets)
        wait_until(lambda: lines_of(origin, left_id, LEFT), "the close is noticed")
        time.sleep(BID_S)  # until no bid counts it as work of the queue
        # A caller that stays gets its answer, and shows that the queue was worked off.
        stays = shape._replace(more=b"")
        with send(origin, f"{shape.name}-last", "POST /book/1", stays) as last:
            for each in (busy, last):
                assert each.recv(1000).startswith(b"HTTP/1.1 200")
    assert not has_run(fleet, left_id)
    assert has_run(fleet, f"{shape.name}-last")


def has_run(fleet: Fleet, request_id: str) -> bool:
    return any(request_id in server.ran for server in servers(fleet))


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("line", ["GET /look/1", "POST /book/1"])
def test_a_server_stops_work_on_the_answer_of_a_caller_that_left(
    fleet: Fleet, line: str, resets: bool
) -> None:
    origin = fleet.instances[0]
    request_id = f"{line}-{resets}"
    for server in servers(fleet):
        server.content, server.works_within_s = LARGE_ANSWER, LONG_S
    try:
        connection = send(origin, request_id, line, RequestShape("reader"))
        received = 0
        while received < len(LARGE_ANSWER) - 1:
            received += len(connection.recv(65536))
        leave(connection, resets=resets)
        wait_until(lambda: end_of(fleet, request_id) is not RunEnd.OPEN, "it has ended")
    finally:
        for server in servers(fleet):
            server.content, server.works_within_s = b"", 0.0
    assert end_of(fleet, request_id) is RunEnd.CUT
    wait_until(lambda: lines_of(origin, request_id, "'answer-cut'"), "it is logged")


def end_of(fleet: Fleet, request_id: str) -> RunEnd:
    (run,) = (
        run
        for server in servers(fleet)
        for run in server.runs
        if run.request_id == request_id
    )
    return run.end
