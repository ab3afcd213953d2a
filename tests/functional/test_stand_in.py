"""Check the stand-in server that crashes on requests of one path."""

import http.client
import json
import threading
import time
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
from typing import Any

import pytest
from processes import Answer
from processes import Fleet
from processes import Process
from processes import call
from processes import free_address
from processes import is_reachable
from processes import wait_until

from pimentobend._internal.status import Status

DOWN_MS = 700

FAULTS = [
    ("no path", ["--crash_on=poison"], "--crash_on='poison' is not a path"),
    ("no time", ["--crash_on=/p", "--crash_down_ms=0"], "--crash_down_ms=0"),
    ("no number", ["--crash_on=/p", "--crash_down_ms=x"], "crash_down_ms"),
    ("two behaviours", ["--crash_on=/p", "--half_alive"], "exclude each other"),
]


@pytest.mark.parametrize(
    ("options", "message"),
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
def test_faults_of_the_flags_are_named(
    fleet: Fleet, options: list[str], message: str
) -> None:
    result = fleet.run_client("stand-in", *options, "look-1")
    assert result.returncode == Status.USAGE.value
    assert message in result.stderr


class _Announcements(BaseHTTPRequestHandler):
    """Records announcements, as a daemon would receive them."""

    def do_POST(self) -> None:
        document = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        self.server.received.append(document)  # type: ignore[attr-defined]
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args: Any) -> None:
        """Write no log."""


@pytest.fixture
def announcements() -> Iterator[Any]:
    """Yield a server that records announcements in ``received``."""
    server: Any = HTTPServer(("127.0.0.1", 0), _Announcements)
    server.received = []
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def _start(fleet: Fleet, announcements: Any) -> tuple[str, Process]:
    address = free_address()
    process = fleet.start_stand_in(
        "look-1",
        "--service=look",
        f"--port={address.rpartition(':')[2]}",
        f"--daemon=127.0.0.1:{announcements.server_port}",
        "--service_ms=300",
        "--crash_on=/poison",
        f"--crash_down_ms={DOWN_MS}",
    )
    wait_until(lambda: is_reachable(address))
    wait_until(lambda: announcements.received)
    return address, process


def test_crash_cuts_all_connections_and_the_server_comes_back(
    fleet: Fleet, announcements: Any
) -> None:
    address, process = _start(fleet, announcements)
    beside: list[Answer | Exception] = []

    def send_beside() -> None:
        try:
            beside.append(call("GET", f"http://{address}/look"))
        except (OSError, http.client.HTTPException) as error:
            beside.append(error)

    caller = threading.Thread(target=send_beside)
    idle = http.client.HTTPConnection(address, timeout=5)
    idle.request("GET", "/look")
    assert idle.getresponse().read() == b"look-1\n"
    caller.start()
    time.sleep(0.1)  # the request beside the crash is in service
    with pytest.raises((OSError, http.client.HTTPException)):
        call("POST", f"http://{address}/poison", b"x")
    assert not is_reachable(address)
    caller.join()
    assert isinstance(beside[0], OSError | http.client.HTTPException), beside
    with pytest.raises((OSError, http.client.HTTPException)):
        idle.request("GET", "/look")
        assert idle.getresponse().read() is None
    wait_until(lambda: is_reachable(address))
    assert call("GET", f"http://{address}/look").status == 200
    wait_until(lambda: len({row["incarnation"] for row in announcements.received}) == 2)
    assert process.log.read_text().count("crashed on /poison") == 1
