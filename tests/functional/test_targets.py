"""Send targets with bytes beyond ASCII through two platform daemons.

Guards against requests that reach no server, and wait for their deadline, as their
target is taken for text.
"""

import socket
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Process
from platform_server import PREFIX

TARGETS = {
    "UTF-8 in the path": "/look/بکنگ".encode(),
    "Latin-1 in the path": b"/look/r\xe9serv\xe9",
    "UTF-8 in the query": "/look/1?q=بکنگ".encode(),
    "bytes that are no text": b"/look/\xff\xfe?\x80",
}
TIMEOUT_S = 12.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start a fleet of which one server is draining."""
    with run_fleet(tmp_path_factory.mktemp("fleet")) as running:
        origin = running.instances[0]
        assert origin.server is not None
        origin.server.state = "draining"
        wait_until(lambda: origin.server.beat() == 200, "one server is draining")
        yield running


@pytest.mark.parametrize("is_local", [False, True], ids=["hop", "own server"])
@pytest.mark.parametrize("target", TARGETS.values(), ids=TARGETS)
def test_a_target_arrives_as_it_was_sent(
    fleet: Fleet, target: bytes, is_local: bool
) -> None:
    origin, host = fleet.instances
    assert host.server is not None
    status = send_target(host if is_local else origin, target)
    assert status == 200
    assert host.server.targets[-1] == target


def send_target(process: Process, target: bytes) -> int:
    """Send a request with a target in bytes and return the status of its answer."""
    name, _, port = process.address(8400).rpartition(":")
    with socket.create_connection((name, int(port)), TIMEOUT_S) as connection:
        connection.sendall(
            b"GET " + target + b" HTTP/1.1\r\nHost: a.example\r\n"
            b"Connection: close\r\n"
            + f"{PREFIX}Request-Id: 1\r\n{PREFIX}Deadline-Ms: 3000\r\n\r\n".encode()
        )
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
    return int(answer.split(b" ", 2)[1])
