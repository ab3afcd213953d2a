"""Deliver a late heartbeat of a server that left to its restarted daemon.

The restarted daemon did not know that the server had left, and used it again.
"""

import pathlib
import signal
import time
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import Process
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import ask
from platform_server import PlatformServer

REQUESTS = 40
IN_FLIGHT_S = 0.5  # heartbeats that were sent before have arrived by then


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


def restart(process: Process) -> None:
    """Start a daemon that has ended and wait until it listens for heartbeats."""
    process.wait()
    process.start()
    wait_until(lambda: ask(process.address(8403), "GET", "/").status != 0, "it listens")


def leave(server: PlatformServer) -> None:
    assert server.send(server.make_withdrawal()) == 200


def report_draining(server: PlatformServer) -> None:
    server.state = "draining"
    assert server.beat() == 200


def leave_after_restart(process: Process, server: PlatformServer) -> None:
    process.signal(signal.SIGTERM)
    restart(process)
    leave(server)


def leave_between_restarts(process: Process, server: PlatformServer) -> None:
    leave_after_restart(process, server)
    process.signal(signal.SIGTERM)
    restart(process)


def leave_during_stop(process: Process, server: PlatformServer) -> None:
    process.signal(signal.SIGTERM)
    wait_until(lambda: not process.is_ready(), "it is stopping")
    leave(server)
    restart(process)


def drain_during_stop(process: Process, server: PlatformServer) -> None:
    process.signal(signal.SIGTERM)
    wait_until(lambda: not process.is_ready(), "it is stopping")
    report_draining(server)
    restart(process)


@pytest.mark.parametrize(
    "take_leave",
    [
        leave_after_restart,
        leave_between_restarts,
        leave_during_stop,
        drain_during_stop,
    ],
)
def test_a_late_heartbeat_does_not_bring_back_a_server(
    fleet: Fleet, take_leave: Callable[[Process, PlatformServer], None]
) -> None:
    first, second = fleet.instances
    server = first.server
    assert server is not None
    server.sends_heartbeats = False
    time.sleep(IN_FLIGHT_S)
    late = server.make_heartbeat()
    take_leave(first, server)
    wait_until(lambda: second.request().status == 200, "the other server serves")
    time.sleep(IN_FLIGHT_S)
    server.send(late)
    before = len(server.ran)
    for number in range(REQUESTS):
        assert second.request(request_id=f"late-{number}").status == 200
        time.sleep(0.02)
    assert len(server.ran) == before
