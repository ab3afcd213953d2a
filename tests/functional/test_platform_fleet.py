"""Check that a fleet of platform daemons forms, serves and survives restarts."""

import http.client
import pathlib
import shutil
import signal
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import Process
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_server import PREFIX


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


def more_routes() -> dict[str, Any]:
    """Return ``ROUTES`` with one route added."""
    added = ["new", "b.example", "/new/", "safe", 10, "shop"]
    return {**ROUTES, "rows": [*ROUTES["rows"], added]}


def test_fleet_serves_and_replaces_lost_replicas(fleet: Fleet) -> None:
    first, second = fleet.instances
    assert first.request("/none/1").status == 404
    ids = [f"book-{number}" for number in range(20)]
    for request_id in ids:
        assert first.request("/book/1", "POST", request_id).status == 200
    assert first.server is not None
    assert second.server is not None
    ran = first.server.ran + second.server.ran
    assert all(ran.count(request_id) == 1 for request_id in ids)
    assert set(first.server.callers + second.server.callers) == {"shop"}

    # A replica that lost its disk gets a new id and is admitted as a new member.
    emptied = fleet.control[0]
    emptied.kill()
    shutil.rmtree(emptied.folder / "data")
    emptied.start()
    assert fleet.put(more_routes()) == 200
    wait_until(
        lambda: "'promote' replica='" + emptied.ip in control_logs(fleet), "readmitted"
    )
    wait_until(
        lambda: fleet.read() == [2, 2, 2], "the newest version is read everywhere"
    )

    # After that a second replica is lost: no acknowledged version may be missing.
    fleet.control[1].kill()
    assert fleet.put(ROUTES) == 200
    wait_until(lambda: fleet.read() == [3, 3], "the newest version is read")


def has_seen_peer(process: Process, other: Process) -> bool:
    """Return whether the log of a process reports that another one joined."""
    lines = process.log().splitlines()
    peer = f"peer='{other.address(8410)}'"
    return any("'peer-joined'" in line and peer in line for line in lines)


def control_logs(fleet: Fleet) -> str:
    return "".join(process.log() for process in fleet.control)


def test_restarted_daemon_gets_the_tables_from_another_instance(fleet: Fleet) -> None:
    first, second = fleet.instances
    wait_until(
        lambda: has_seen_peer(second, first), "the other instance knows the daemon"
    )
    for process in fleet.control:
        process.kill()
    first.kill()
    first.start()
    wait_until(first.is_ready, "the daemon has its tables")
    assert first.request("/none/1").status == 404
    wait_until(lambda: first.request().status == 200, "it serves")
    assert fleet.read() == []


def test_daemon_without_tables_is_not_ready_and_refuses_requests(
    fleet: Fleet,
) -> None:
    first, second = fleet.instances
    for process in [*fleet.control, first, second]:
        process.kill()
    first.start()
    wait_until(lambda: first.request("/none/1").status == 503, "it refuses")
    answer = first.request()
    assert answer.status == 503
    assert answer.headers["pimentobend-ran"] == "not-run"
    assert "retry-after" in answer.headers
    assert not first.is_ready()


def test_stopped_daemon_finishes_requests_in_flight(fleet: Fleet) -> None:
    first = fleet.instances[0]
    servers = [each.server for each in fleet.instances if each.server is not None]
    for server in servers:
        server.hold_s = 1.5
    connection = http.client.HTTPConnection(first.address(8400), timeout=12)
    headers = {"Host": "a.example", f"{PREFIX}Request-Id": "long"}
    connection.request("POST", "/book/1", b"", headers)
    wait_until(lambda: any("long" in each.ran for each in servers), "the request runs")
    first.signal(signal.SIGTERM)
    response = connection.getresponse()
    assert response.status == 200
    assert response.read()
    assert response.headers["Connection"] == "close"
    assert first.wait() == 0


STOPS = [  # whether the daemon that took the bookings stops as well
    ("the daemon beside the server", False),
    ("the daemons on both sides of the hop", True),
]


@pytest.mark.parametrize(
    "stops_origin", [s[1] for s in STOPS], ids=[s[0] for s in STOPS]
)
def test_a_stop_gives_up_no_booking_in_a_queue(
    stops_origin: bool, fleet: Fleet
) -> None:
    origin, host = fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    host.server.hold_s = 1.9
    answers: dict[str, int] = {}
    bookings = [
        threading.Thread(target=book, args=(origin, f"b{number}", answers))
        for number in range(12)
    ]
    for booking in bookings:
        booking.start()
    wait_until(
        lambda: origin.log().count("'attempt-sent'") >= len(bookings), "all are sent"
    )
    time.sleep(0.5)  # until the last ones are in the queue
    host.signal(signal.SIGTERM)
    if stops_origin:
        time.sleep(1.0)
        origin.signal(signal.SIGTERM)
    assert host.wait() == 0
    host.start()
    for booking in bookings:
        booking.join()
    ran = {name for name in answers if name in host.server.ran}
    assert {answers[name] for name in ran} == {200}
    assert {answers[name] for name in answers.keys() - ran} <= {503}


def book(process: Process, request_id: str, answers: dict[str, int]) -> None:
    """Send a booking and store the status of its answer."""
    answers[request_id] = process.request("/book/1", "POST", request_id).status


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_during_a_stop_do_not_change_its_outcome(
    number: signal.Signals, fleet: Fleet
) -> None:
    process = fleet.control[0]
    wait_until(lambda: "event='started'" in process.log(), "it handles signals")
    process.signal(signal.SIGTERM)
    while not process.has_ended():
        process.signal(number)
        time.sleep(0.002)
    assert process.wait() == 0


def test_request_to_hanging_server_ends_at_its_deadline(fleet: Fleet) -> None:
    first, second = fleet.instances
    for process in fleet.instances:
        assert process.server is not None
        process.server.hangs = True
    connection = http.client.HTTPConnection(first.address(8400), timeout=30)
    headers = {
        "Host": "a.example",
        f"{PREFIX}Request-Id": "hung",
        f"{PREFIX}Deadline-Ms": "1500",
    }
    connection.request("POST", "/book/1", b"", headers)
    response = connection.getresponse()
    assert response.status == 504
    assert response.headers["Pimentobend-Ran"] == "unknown"


def test_a_caller_that_closes_its_sending_side_gets_its_answer(fleet: Fleet) -> None:
    process = fleet.instances[0]
    head = f"Host: a.example\r\n{PREFIX}Request-Id: h1\r\n{PREFIX}Deadline-Ms: 5000\r\n"
    with socket.create_connection((process.ip, 8400), timeout=10.0) as connection:
        connection.sendall(f"GET /look/1 HTTP/1.1\r\n{head}\r\n".encode())
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
