"""Send requests through separate control, instance and server processes."""

import json
import pathlib
import signal
import threading
import time
from typing import Any
from typing import NamedTuple

import pytest
from processes import Answer
from processes import Fleet
from processes import call
from processes import wait_until
from settings_of import control_settings
from settings_of import instance_settings

TABLES = {
    "routes": [
        {"name": "look", "path": "/look", "pool": "look", "repeatable": True},
        {"name": "slow", "path": "/slow", "pool": "slow", "repeatable": True},
        {"name": "book", "path": "/book", "pool": "look", "repeatable": False},
    ],
    "pools": [
        {"name": "look", "service": "look"},
        {"name": "slow", "service": "slow"},
    ],
}


class Site(NamedTuple):
    """The running processes and their addresses."""

    fleet: Fleet
    callers: str
    operators: str
    instance: Any


@pytest.fixture
def site(fleet: Fleet, tmp_path: pathlib.Path) -> Site:
    """Start control, an instance and two stand-in servers, and apply tables."""
    control = control_settings("control-1", str(tmp_path))
    instance = instance_settings("instance-1", control["control"])
    fleet.start_daemon(control)
    process = fleet.start_daemon(instance)
    listen = instance["listen"]
    daemon = f"--daemon={listen['servers']}"
    fleet.start_stand_in("look-1", "--service=look", daemon)
    fleet.start_stand_in("slow-1", "--service=slow", "--service_ms=1500", daemon)
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control['listen']['operators']}"
    applied = fleet.run_client("apply", operators, str(tables))
    assert applied.returncode == 0, applied.stderr
    callers = f"http://{listen['callers']}"
    wait_until(lambda: call("GET", f"{callers}/look/1").status == 200)
    wait_until(lambda: call("GET", f"{callers}/slow/1").status == 200)
    return Site(fleet, callers, f"http://{listen['operators']}", process)


CALLS = [
    ("GET", "/look/1", None, {}, 200, "ran"),
    ("POST", "/look/1", b"x" * 1000, {}, 200, "ran"),
    ("POST", "/look/1", b"x" * 300_000, {}, 200, "ran"),
    ("GET", "/nowhere", None, {}, 404, "not-run"),
    ("GET", "/look/1", None, {"Pimentobend-Deadline-Ms": "0"}, 504, "not-run"),
    ("GET", "/look/1", None, {"Pimentobend-Deadline-Ms": "x"}, 400, "not-run"),
    ("GET", "/slow/1", None, {"Pimentobend-Deadline-Ms": "200"}, 504, "unknown"),
    ("POST", "/book/1", b"", {"Idempotency-Key": "k" * 300}, 400, "not-run"),
]


def test_requests_get_the_right_status_and_ran(site: Site) -> None:
    received = []
    for method, target, content, headers, _, _ in CALLS:
        answer = call(method, site.callers + target, content, headers)
        received.append((answer.status, answer.headers["Pimentobend-Ran"]))
    assert received == [(status, ran) for *_, status, ran in CALLS]


def test_a_key_runs_once(site: Site) -> None:
    headers = {"Idempotency-Key": "sign-7", "Pimentobend-Organisation": "museum"}
    answers = [call("POST", f"{site.callers}/book/1", b"", headers) for _ in range(3)]
    assert [a.status for a in answers] == [200, 409, 409]
    assert {a.headers["Pimentobend-Ran"] for a in answers} == {"ran"}


def test_shutdown_completes_requests_in_flight(site: Site) -> None:
    answers: list[Answer] = []
    caller = threading.Thread(
        target=lambda: answers.append(call("GET", f"{site.callers}/slow/2"))
    )
    caller.start()
    wait_until(lambda: _in_flight(site) == 1)
    site.instance.signal(signal.SIGTERM)
    caller.join()
    assert site.instance.wait() == 0
    assert [answer.status for answer in answers] == [200]


def test_dump_has_a_section_for_each_task(site: Site) -> None:
    state = json.loads(call("GET", f"{site.operators}/v1/dump").content)
    assert {"registry", "view", "pools", "traffic.look", "requests"} <= state.keys()
    site.instance.signal(signal.SIGUSR1)
    time.sleep(0.1)
    wait_until(lambda: '"traffic.look"' in site.instance.log.read_text())


def test_an_instance_counts_the_fleet(site: Site) -> None:
    wait_until(lambda: _counted(site) == 2)


def _counted(site: Site) -> int | None:
    state = json.loads(call("GET", f"{site.operators}/v1/dump").content)
    count: int | None = state["instances"]["counted"]
    return count


def _in_flight(site: Site) -> int:
    state = json.loads(call("GET", f"{site.operators}/v1/dump").content)
    count: int = state["requests"]["in_flight"]
    return count
