"""Stop an instance of the own interface with requests at each stage.

Requests that were taken, and could not end in the grace time, were cut off without an
answer, also those that no server had got yet; and a caller could not know that its
connection would not carry another request.
"""

import contextlib
import json
import pathlib
import signal
import socket
import time
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from processes import Fleet
from processes import call
from processes import wait_until
from settings_of import control_settings
from settings_of import instance_settings

GRACE_S = 3
HELD_MS = 8000  # longer than the grace time
SHORT_MS = 1000
TIMEOUT_S = 10.0
TABLES = {
    "routes": [
        {"name": name, "path": f"/{name}", "pool": name.partition("-")[0], **kind}
        for name, kind in [
            ("held", {"repeatable": True}),
            ("held-once", {"repeatable": False}),
            ("short", {"repeatable": False}),
        ]
    ],
    "pools": [
        {"name": "held", "service": "held"},
        {"name": "short", "service": "short"},
    ],
}
HEAD = " HTTP/1.1\r\nHost: h\r\nPimentobend-Deadline-Ms: 30000\r\n"


class Site(NamedTuple):
    """The running instance and its addresses."""

    instance: Any
    callers: str
    operators: str

    def state(self, name: str) -> Any:
        """Return a section of the state dump."""
        answer = call("GET", f"http://{self.operators}/v1/dump")
        return json.loads(answer.content)[name]


@pytest.fixture
def site(fleet: Fleet, tmp_path: pathlib.Path) -> Site:
    """Start control, an instance, and a server for long and one for short requests."""
    control = control_settings("control-1", str(tmp_path))
    instance = instance_settings("instance-1", control["control"])
    instance["shutdown_grace_s"] = GRACE_S
    fleet.start_daemon(control)
    process = fleet.start_daemon(instance)
    listen = instance["listen"]
    daemon = f"--daemon={listen['servers']}"
    held = ["--service=held", f"--service_ms={HELD_MS}", "--slots=1", daemon]
    fleet.start_stand_in("held-1", *held)
    short = ["--service=short", f"--service_ms={SHORT_MS}", daemon]
    fleet.start_stand_in("short-1", *short)
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control['listen']['operators']}"
    applied = fleet.run_client("apply", operators, str(tables))
    assert applied.returncode == 0, applied.stderr
    started = Site(process, listen["callers"], listen["operators"])
    url = f"http://{started.callers}/short/0"
    wait_until(lambda: call("POST", url, b"").status == 200)
    wait_until(lambda: "held-1" in started.state("registry")["servers"])
    return started


@contextlib.contextmanager
def _connect(site: Site) -> Iterator[socket.socket]:
    host, _, port = site.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection:
        yield connection


def _read_all(connection: socket.socket) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionError):
        while piece := connection.recv(65536):
            received += piece
    return received


def _in_flight(site: Site) -> int:
    count: int = site.state("requests")["in_flight"]
    return count


# Name, request that holds the only slot of the server (or none), the request that is
# stopped, and its status, whether it ran, and whether it may come back.
STAGES = [
    # The second attempt is refused, and the refusal says what is known of the first.
    ("sent", "", f"GET /held/1{HEAD}\r\n", 503, "unknown", False),
    ("sent, not repeatable", "", f"POST /held-once/1{HEAD}\r\n", 504, "unknown", False),
    (
        "waits for a slot",
        f"POST /held-once/1{HEAD}\r\n",
        f"POST /held-once/2{HEAD}\r\n",
        503,
        "not-run",
        True,
    ),
    (
        "half of its body read",
        "",
        f"POST /held-once/3{HEAD}Content-Length: 10\r\n\r\nhello",
        503,
        "not-run",
        True,
    ),
    (
        "chunked body not ended",
        "",
        f"POST /held-once/4{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        503,
        "not-run",
        True,
    ),
    ("short", "", f"POST /short/1{HEAD}\r\n", 200, "ran", False),
]


@pytest.mark.parametrize(
    ("first", "request_text", "status", "ran", "may_return"),
    [stage[1:] for stage in STAGES],
    ids=[stage[0] for stage in STAGES],
)
def test_each_request_that_was_taken_is_answered(
    site: Site, first: str, request_text: str, status: int, ran: str, may_return: bool
) -> None:
    if (status, ran) == (503, "unknown"):
        # Without the count of instances there is no budget for a second attempt.
        wait_until(lambda: site.state("instances")["counted"])
    with _connect(site) as before, _connect(site) as connection:
        if first:
            before.sendall(first.encode())
            wait_until(lambda: _in_flight(site) == 1)
        connection.sendall(request_text.encode())
        wait_until(lambda: _in_flight(site) == 1 + bool(first))
        began_at = time.monotonic()
        site.instance.signal(signal.SIGTERM)
        answer = _read_all(connection).decode()
        if first:
            assert _read_all(before).startswith(b"HTTP/1.1 504 ")
    assert site.instance.wait() == 0
    assert time.monotonic() - began_at < GRACE_S + 1
    head = answer.partition("\r\n\r\n")[0].lower().split("\r\n")
    assert head[0].startswith(f"http/1.1 {status} ")
    assert f"pimentobend-ran: {ran}" in head
    assert "connection: close" in head
    assert any(line.startswith("retry-after: ") for line in head) == may_return
    assert "shutdown-cut" not in site.instance.log.read_text()


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 2.0])
def test_no_request_is_taken_once_the_process_is_stopping(
    site: Site, delay_s: float
) -> None:
    with _connect(site) as holding, _connect(site) as kept:
        kept.sendall(f"POST /short/1{HEAD}\r\n".encode())
        wait_until(lambda: _in_flight(site) == 0)
        assert kept.recv(65536).startswith(b"HTTP/1.1 200 ")
        holding.sendall(f"GET /held/1{HEAD}\r\n".encode())
        wait_until(lambda: _in_flight(site) == 1)
        site.instance.signal(signal.SIGTERM)
        wait_until(lambda: not _is_open(site))
        time.sleep(delay_s)
        with contextlib.suppress(ConnectionError):
            kept.sendall(f"POST /short/late{HEAD}\r\n".encode())
        answer = _read_all(kept)
        assert answer == b"" or b"\r\nPimentobend-Ran: not-run\r\n" in answer
    assert site.instance.wait() == 0
    log = site.instance.log.read_text()
    assert ("/short/late" in log) == bool(answer)


def _is_open(site: Site) -> bool:
    try:
        with _connect(site):
            return True
    except OSError:
        return False


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_other_than_a_stop_leave_requests_alone(
    number: signal.Signals, site: Site
) -> None:
    with _connect(site) as connection:
        connection.sendall(f"POST /short/1{HEAD}Connection: close\r\n\r\n".encode())
        wait_until(lambda: _in_flight(site) == 1)
        site.instance.signal(number)
        assert _read_all(connection).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_during_a_stop_do_not_change_its_outcome(
    number: signal.Signals, site: Site
) -> None:
    site.instance.signal(signal.SIGTERM)
    while not site.instance.has_ended:
        site.instance.signal(number)
        time.sleep(0.002)
    assert site.instance.wait() == 0
