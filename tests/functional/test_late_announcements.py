"""Deliver a late announcement of a server that left to its restarted instance.

The own interface: the restarted instance listed the server as ready again.
"""

import json
import pathlib
import signal
import time
from typing import Any

import pytest
from processes import Answer
from processes import Fleet
from processes import call
from processes import free_address
from processes import wait_until
from settings_of import control_settings
from settings_of import instance_settings

HOST, _, PORT = free_address().rpartition(":")
SERVER = {
    "server_id": "look-1",
    "service": "look",
    "host": HOST,
    "port": int(PORT),
    "slots": 3,
    "data_centre": "nord-a",
    "region": "nord",
    "state": "ready",
    "incarnation": 7,
    "lease_s": 30.0,
}
LOOKS = 10
LOOK_INTERVAL_S = 0.1
WITHDRAWAL = {"server_id": "look-1", "incarnation": 7}


def post(instance: dict[str, Any], path: str, document: dict[str, Any]) -> Answer:
    url = f"http://{instance['listen']['servers']}{path}"
    return call("POST", url, json.dumps(document).encode())


def states(instance: dict[str, Any]) -> dict[str, str]:
    url = f"http://{instance['listen']['operators']}/v1/servers"
    rows = json.loads(call("GET", url).content)["servers"]
    return {row["server"]: row["state"] for row in rows}


def withdraw(instance: dict[str, Any]) -> None:
    assert post(instance, "/withdraw", WITHDRAWAL).status == 200
    wait_until(lambda: "look-1" not in states(instance))


def drain(instance: dict[str, Any]) -> None:
    url = f"http://{instance['listen']['operators']}/v1/drain?server=look-1"
    assert call("POST", url).status == 200
    wait_until(lambda: states(instance).get("look-1") == "draining")


@pytest.mark.parametrize("take_leave", [withdraw, drain])
def test_a_late_announcement_does_not_bring_back_a_server(
    fleet: Fleet, tmp_path: pathlib.Path, take_leave: Any
) -> None:
    control = control_settings("control-1", str(tmp_path))
    instance = instance_settings("instance-1", control["control"])
    fleet.start_daemon(control)
    process = fleet.start_daemon(instance)
    tables = tmp_path / "tables.json"
    pools = [{"name": "look", "service": "look"}]
    tables.write_text(json.dumps({"routes": [], "pools": pools}))
    operators = f"--operators={control['listen']['operators']}"
    wait_until(
        lambda: fleet.run_client("apply", operators, str(tables)).returncode == 0
    )
    assert post(instance, "/announce", SERVER).status == 200
    wait_until(lambda: states(instance).get("look-1") == "ready")
    take_leave(instance)
    process.signal(signal.SIGKILL)
    process.wait()
    fleet.start_daemon(instance)
    wait_until(lambda: has_heard(instance))
    post(instance, "/announce", SERVER)
    for _ in range(LOOKS):
        assert states(instance).get("look-1") != "ready"
        time.sleep(LOOK_INTERVAL_S)


def has_heard(instance: dict[str, Any]) -> bool:
    """Return whether a restarted instance has got the rows of its fleet."""
    url = f"http://{instance['listen']['operators']}/v1/dump"
    dump = json.loads(call("GET", url).content)
    return bool(dump["spread-servers"]["attached"] and dump["spread-servers"]["rows"])
