"""Check a fleet of three replicas and two instances as separate processes."""

import json
import pathlib
import signal
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from processes import Answer
from processes import Fleet
from processes import Process
from processes import call
from processes import free_address
from processes import wait_until
from settings_of import control_settings
from settings_of import instance_settings

TABLES = {
    "routes": [
        {"name": "look", "path": "/look", "pool": "look", "repeatable": True},
        {"name": "book", "path": "/book", "pool": "look", "repeatable": False},
    ],
    "pools": [{"name": "look", "service": "look", "floor": 0.5}],
}
SERVERS = 4
DRAIN_TIMEOUT_S = 3.0


class Site(NamedTuple):
    """The running fleet and its addresses."""

    fleet: Fleet
    replicas: list[Process]
    control: list[dict[str, Any]]
    callers: list[str]
    operators: list[str]


@pytest.fixture
def site(fleet: Fleet, tmp_path: pathlib.Path) -> Iterator[Site]:
    """Start the fleet; all servers announce themselves to the first instance."""
    links = [free_address() for _ in range(3)]
    control = [
        {**control_settings(f"control-{number}", str(tmp_path), link), "control": links}
        for number, link in enumerate(links)
    ]
    replicas = [fleet.start_daemon(settings) for settings in control]
    instances = [instance_settings(f"instance-{n}", links) for n in range(2)]
    for settings in instances:
        fleet.start_daemon(settings)
    daemon = f"--daemon={instances[0]['listen']['servers']}"
    for number in range(SERVERS):
        options = ["--service=look", daemon]
        if number == 0:
            options.append("--half_alive")
        fleet.start_stand_in(f"look-{number}", *options)
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control[0]['listen']['operators']}"
    wait_until(
        lambda: fleet.run_client("apply", operators, str(tables)).returncode == 0
    )
    callers = [f"http://{settings['listen']['callers']}" for settings in instances]
    for url in callers:
        wait_until(lambda url=url: call("GET", f"{url}/look/1").status == 200)  # type: ignore[misc]
    operators_urls = [
        f"http://{settings['listen']['operators']}" for settings in instances
    ]
    for url in operators_urls:
        wait_until(lambda url=url: len(_servers(url)) == SERVERS)  # type: ignore[misc]
    yield Site(fleet, replicas, control, callers, operators_urls)


def _servers(url: str) -> dict[str, str]:
    rows = json.loads(call("GET", f"{url}/v1/servers").content)["servers"]
    return {row["server"]: row["state"] for row in rows}


def _book(url: str, key: str) -> Answer:
    headers = {"Idempotency-Key": key, "Pimentobend-Organisation": "museum"}
    return call("POST", f"{url}/book/1", b"", headers)


def _is_recorded(answer: Answer) -> bool:
    """Check that a key that ran is not run again; return if its outcome is recorded.

    Until the outcome is recorded the reply is 409 with ran unknown, and while
    the ledger group elects a leader it is 503.
    """
    reported = (answer.status, answer.headers["Pimentobend-Ran"])
    assert reported in {(409, "ran"), (409, "unknown"), (503, "not-run")}
    return reported == (409, "ran")


def _ejected(url: str) -> set[str]:
    rows = json.loads(call("GET", f"{url}/v1/ejections").content)["ejections"]
    return {row["server"] for row in rows if row["state"] == "ejected"}


def test_key_runs_once_through_both_instances(site: Site) -> None:
    first, second = site.callers
    answer = _book(first, "a")
    assert (answer.status, answer.headers["Pimentobend-Ran"]) == (200, "ran")
    wait_until(lambda: _is_recorded(_book(second, "a")))
    site.replicas[0].signal(signal.SIGKILL)
    wait_until(lambda: _is_recorded(_book(second, "a")))
    site.replicas[1].signal(signal.SIGKILL)
    refused = _book(first, "c")
    assert refused.status == 503
    assert refused.headers["Pimentobend-Ran"] == "not-run"
    assert call("GET", f"{first}/look/1").status == 200


def test_drain_reaches_the_other_instance(site: Site) -> None:
    operators = site.operators[0].removeprefix("http://")
    drained = site.fleet.run_client("drain", f"--operators={operators}", "look-3")
    assert drained.returncode == 0, drained.stderr
    for url in site.operators:
        wait_until(
            lambda url=url: _servers(url)["look-3"] == "draining",  # type: ignore[misc]
            DRAIN_TIMEOUT_S,
        )


def test_half_alive_server_is_ejected_by_both_instances(site: Site) -> None:
    def are_all_ejected() -> bool:
        for url in site.callers:
            for number in range(10):
                assert call("GET", f"{url}/look/{number}").status in (200, 500)
        return all(_ejected(url) == {"look-0"} for url in site.operators)

    wait_until(are_all_ejected, 40.0)
