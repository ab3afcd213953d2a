"""Start an instance of the own interface whose servers a test runs itself."""

import json
import pathlib

import processes
from settings_of import control_settings
from settings_of import instance_settings

TABLES = {
    "routes": [
        {"name": "look", "path": "/look", "pool": "all", "repeatable": True},
        {"name": "book", "path": "/book", "pool": "all", "repeatable": False},
    ],
    "pools": [{"name": "all", "service": "all"}],
}


def start_instance(
    fleet: processes.Fleet, folder: pathlib.Path, ports: list[int]
) -> str:
    """Start an instance with a server at each port; return its callers' address.

    The servers must answer ``GET /look/200`` with 200.
    """
    control = control_settings("control-1", str(folder))
    instance = instance_settings("instance-1", control["control"])
    fleet.start_daemon(control)
    fleet.start_daemon(instance)
    tables = folder / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control['listen']['operators']}"
    processes.wait_until(
        lambda: fleet.run_client("apply", operators, str(tables)).returncode == 0
    )
    listen = instance["listen"]
    for number, port in enumerate(ports):
        document = {
            "server_id": f"all-{number}",
            "service": "all",
            "host": "127.0.0.1",
            "port": port,
            "slots": 4,
            "data_centre": "nord-a",
            "region": "nord",
            "state": "ready",
            "incarnation": 1,
            "lease_s": 60.0,
        }
        url = f"http://{listen['servers']}/announce"
        assert processes.call("POST", url, json.dumps(document).encode()).status == 200
    callers: str = listen["callers"]
    processes.wait_until(
        lambda: processes.call("GET", f"http://{callers}/look/200").status == 200
    )
    return callers
