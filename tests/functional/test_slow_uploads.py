"""Send large request bodies over slow links.

A watch for callers that leave, and the reader of the body, waited for the same socket,
so that each body that did not arrive at once was lost.
"""

import http.client
import pathlib
import threading
import time
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Process
from platform_server import PREFIX

BODY = bytes(range(256)) * 1600  # 400 KB
PIECE_BYTES = 16_384
PAUSE_S = 0.065  # between pieces: 2 Mbit/s
UPLOADS = 3  # at once, as many as a server has slots
DEADLINE_MS = 10_000


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


def pieces() -> Iterator[bytes]:
    for start in range(0, len(BODY), PIECE_BYTES):
        yield BODY[start : start + PIECE_BYTES]
        time.sleep(PAUSE_S)


def upload(process: Process, request_id: str, *, is_chunked: bool) -> int:
    """Send a body slowly; return the status, 0 without an answer."""
    connection = http.client.HTTPConnection(process.address(8400), timeout=12)
    headers = {
        "Host": "a.example",
        f"{PREFIX}Request-Id": request_id,
        f"{PREFIX}Deadline-Ms": str(DEADLINE_MS),
    }
    if not is_chunked:
        headers["Content-Length"] = str(len(BODY))
    try:
        connection.request(
            "POST", "/book/1", pieces(), headers, encode_chunked=is_chunked
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@pytest.mark.parametrize("drained", [None, 0, 1], ids=["any", "remote", "local"])
def test_bodies_that_arrive_slowly_are_served_whole(
    fleet: Fleet, drained: int | None
) -> None:
    """With a server drained, all uploads pass between two daemons, or none does."""
    origin = fleet.instances[0]
    servers = [each.server for each in fleet.instances if each.server is not None]
    if drained is not None:
        servers[drained].state = "draining"
        wait_until(lambda: servers[drained].beat() == 200, "one server is draining")
    statuses = upload_at_once(origin, UPLOADS)
    assert set(statuses.values()) == {200}
    received = {key: body for each in servers for key, body in each.bodies.items()}
    assert all(received[request_id] == BODY for request_id in statuses)
    assert "Traceback" not in origin.log()


def test_uploads_beyond_the_slots_are_served_or_refused_truthfully(
    fleet: Fleet,
) -> None:
    """The second attempt sent the rest of a body that the first one had begun."""
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    statuses = upload_at_once(origin, 3 * UPLOADS)
    assert set(statuses.values()) <= {200, 503}
    for request_id, status in statuses.items():
        assert host.server.ran.count(request_id) == (status == 200)
    assert "Traceback" not in origin.log()


def upload_at_once(process: Process, count: int) -> dict[str, int]:
    """Return the statuses of uploads that begin together, by request id."""
    statuses: dict[str, int] = {}

    def run(number: int) -> None:
        request_id = f"upload-{number}"
        statuses[request_id] = upload(process, request_id, is_chunked=number % 2 == 1)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def test_a_caller_that_leaves_amid_its_body_is_noticed(fleet: Fleet) -> None:
    origin = fleet.instances[0]
    connection = http.client.HTTPConnection(origin.address(8400), timeout=12)
    connection.putrequest("POST", "/book/1", skip_host=True)
    connection.putheader("Host", "a.example")
    connection.putheader(f"{PREFIX}Request-Id", "left")
    connection.putheader("Content-Length", str(len(BODY)))
    connection.endheaders(BODY[: len(BODY) // 2])
    wait_until(lambda: "'attempt-sent'" in sent(origin, "left"), "it is sent")
    connection.close()
    wait_until(lambda: "'request-ended'" in sent(origin, "left"), "it has ended")
    time.sleep(0.5)
    for each in fleet.instances:
        assert each.server is not None
        assert "left" not in each.server.bodies


def sent(process: Process, request_id: str) -> str:
    """Return the log lines of a request."""
    marker = f"request_id='{request_id}'"
    return "\n".join(line for line in process.log().splitlines() if marker in line)
