"""Check that a fleet runs no request with an API key that was removed long before."""

import http.client
import pathlib
import signal
import time
from collections.abc import Callable

import pytest
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import Process
from platform_fleet import run_fleet
from platform_fleet import wait_until

REVOKE_S = 5.0
ROUTES_WITH_OPEN = {
    "columns": [*ROUTES["columns"], "allowAnonymous"],
    "rows": [
        *([*row, None] for row in ROUTES["rows"]),
        ["open", "a.example", "/open/", "safe", 10, "shop", True],
    ],
}


def tenants(*keys: str) -> dict[str, list[object]]:
    return {"columns": ["name", "apiKeys"], "rows": [["museum", list(keys)]]}


def connect(
    fleet: Fleet, process: Process, path: str, key: str
) -> http.client.HTTPConnection:
    """Send a request from another machine, with a key unless it is empty."""
    connection = http.client.HTTPConnection(
        process.address(8400),
        timeout=12,
        source_address=(f"127.{fleet.block}.0.200", 0),
    )
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    connection.request("GET", path, headers={"Host": "a.example", **headers})
    return connection


def send(fleet: Fleet, process: Process, path: str, key: str) -> int:
    connection = connect(fleet, process, path, key)
    try:
        return connection.getresponse().status
    finally:
        connection.close()


def freeze_and_resume(fleet: Fleet, process: Process) -> int:
    """Return the status of a request that comes in while the daemon is frozen."""
    process.signal(signal.SIGSTOP)
    assert fleet.put(ROUTES_WITH_OPEN, tenants("kept")) == 200
    time.sleep(REVOKE_S + 0.1)
    connection = connect(fleet, process, "/look/1", "removed")
    process.signal(signal.SIGCONT)
    try:
        return connection.getresponse().status
    finally:
        connection.close()


def cut_off(fleet: Fleet, process: Process) -> int:
    """Return the status of a request after all control instances have stopped."""
    for control in fleet.control:
        control.kill()
    time.sleep(REVOKE_S + 0.1)
    assert not process.is_ready()
    assert send(fleet, process, "/open/1", "") == 200
    return send(fleet, process, "/look/1", "removed")


@pytest.mark.parametrize(
    ("separate", "statuses"),
    [(freeze_and_resume, {401, 503}), (cut_off, {503})],
    ids=["frozen", "cut-off"],
)
def test_a_removed_key_does_not_run(
    tmp_path: pathlib.Path,
    separate: Callable[[Fleet, Process], int],
    statuses: set[int],
) -> None:
    """Guards against a daemon that serves by old tables after the bound."""
    with run_fleet(tmp_path, FleetShape(revoke_s=REVOKE_S)) as fleet:
        assert fleet.put(ROUTES_WITH_OPEN, tenants("removed", "kept")) == 200
        process = fleet.instances[0]
        wait_until(
            lambda: (
                send(fleet, process, "/look/1", "removed") == 200
                and send(fleet, process, "/look/1", "") == 401
            ),
            "keys are asked",
        )
        assert separate(fleet, process) in statuses
