"""Check that a fleet of platform daemons tells organisations apart by their keys."""

import functools
import http.client
import itertools
import json
import time
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_process import Process
from platform_process import ask
from platform_process import wait_until
from platform_server import PREFIX

OPEN_ROUTE = ["open", "a.example", "/open/", "safe", 10, "shop", True]
KEYED_ROUTES = {
    "columns": [*ROUTES["columns"], "allowAnonymous"],
    "rows": [*([*row, None] for row in ROUTES["rows"]), OPEN_ROUTE],
}
TENANTS = {
    "columns": ["name", "apiKeys", "priority"],
    "rows": [["museum", ["secret-a", "secret-b"], 0], ["archive", ["secret-c"], None]],
}
TENANT = f"{PREFIX}Tenant-Id"
REQUEST_IDS = (f"key-{number}" for number in itertools.count())


class Case(NamedTuple):
    """A request, the status of its answer and the organisation that the server saw."""

    name: str
    authorization: str | None
    path: str
    status: int
    organisation: str | None = None


CASES = [
    Case("first key", "Bearer secret-a", "/book/1", 200, "museum"),
    Case("second key", "Bearer secret-b", "/look/1", 200, "museum"),
    Case("other organisation", "Bearer secret-c", "/look/1", 200, "archive"),
    Case("anonymous", None, "/open/1", 200),
    Case("anonymous route, key", "Bearer secret-c", "/open/1", 200, "archive"),
    Case("no key", None, "/look/1", 401),
    Case("unknown key", "Bearer secret-d", "/look/1", 401),
    Case("malformed", "Basic secret-a", "/look/1", 401),
]

# A request whose run makes a call, and how long after its start.
RUN = Case("run", "Bearer secret-a", "/look/run", 200, "museum")
CALL_AFTER_S = 0.5


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with run_fleet(tmp_path_factory.mktemp("fleet")) as running:
        assert running.put(KEYED_ROUTES, TENANTS) == 200
        for process in running.instances:
            wait_until(
                lambda p=process: send(running, p, CASES[5])[0] == 401, "keys are asked"
            )
        yield running


def send(
    fleet: Fleet,
    process: Process,
    case: Case,
    sender: str = "",
    remaining_ms: int = 10000,
) -> tuple[int, dict[str, str]]:
    """Send a request, by default from another machine; return status and headers."""
    source = (sender or f"127.{fleet.block}.0.200", 0)
    address = process.address(8400)
    connection = http.client.HTTPConnection(address, timeout=12, source_address=source)
    headers = {"Host": "a.example", f"{PREFIX}Request-Id": next(REQUEST_IDS)}
    headers[TENANT] = "forged"
    headers[f"{PREFIX}Deadline-Ms"] = str(remaining_ms)
    if case.authorization is not None:
        headers["Authorization"] = case.authorization
    try:
        connection.request("GET", case.path, headers=headers)
        response = connection.getresponse()
        response.read()
        found = {name.lower(): value for name, value in response.getheaders()}
        return response.status, found
    finally:
        connection.close()


def head_seen(fleet: Fleet, request_id: str) -> dict[str, str] | None:
    """Return the headers with which a backend server ran a request."""
    for process in fleet.instances:
        assert process.server is not None
        if request_id in process.server.heads:
            return process.server.heads[request_id]
    return None


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_requests_run_for_the_organisation_of_their_key(
    fleet: Fleet, case: Case
) -> None:
    """Guard against forged organisations and against keys that servers get to see."""
    for process in fleet.instances:
        status, headers = send(fleet, process, case)
        assert status == case.status
        head = head_seen(fleet, headers[f"{PREFIX}Request-Id".lower()])
        if status == 401:
            assert head is None
            assert headers["www-authenticate"] == "Bearer"
            assert headers["pimentobend-ran"] == "not-run"
            assert headers["pimentobend-reason"] == "unknown-key"
            continue
        assert head is not None
        assert head.get(TENANT.lower()) == case.organisation
        assert "authorization" not in head


@pytest.mark.parametrize(
    ("is_own", "remaining_ms", "status"),
    [
        pytest.param(True, 5000, 200, id="call"),
        pytest.param(False, 5000, 401, id="127.0.0.1"),
        pytest.param(True, 10000, 401, id="ends after the run"),
    ],
)
def test_only_calls_of_runs_from_the_own_address_need_no_key(
    fleet: Fleet, is_own: bool, remaining_ms: int, status: int
) -> None:
    """Guard against keyless requests that run, and against refused calls."""
    answers: list[tuple[int, dict[str, str]]] = []

    def call(process: Process, path: str) -> bool:
        if path == RUN.path:
            time.sleep(CALL_AFTER_S)
            sender = process.ip if is_own else "127.0.0.1"
            answers.append(send(fleet, process, CASES[5], sender, remaining_ms))
        return True

    for process in fleet.instances:
        assert process.server is not None
        process.server.call = functools.partial(call, process)
    assert send(fleet, fleet.instances[0], RUN)[0] == 200
    found, headers = answers[0]
    assert found == status
    head = head_seen(fleet, headers[f"{PREFIX}Request-Id".lower()])
    assert (head is not None) == (status == 200)
    if head is not None:
        assert TENANT.lower() not in head


def patch(fleet: Fleet, change: dict[str, Any], base: int) -> tuple[int, bytes]:
    """Send a patch to the first control instance."""
    data = json.dumps({"version": f"{base + 1:08x}", **change}).encode()
    headers = {"If-Match": f"{base:08x}"}
    address = fleet.control[0].address(8403)
    answer = ask(address, "PATCH", "/-/config", data, headers)
    return answer.status, answer.body


def test_changes_of_keys_take_effect_and_no_log_shows_a_key(fleet: Fleet) -> None:
    """Guard against a removed key that still works, and against keys in logs."""
    row = {"columns": ["name", "apiKeys"], "rows": [["library", ["secret-c"]]]}
    status, body = patch(fleet, {"upsert": {"tenants": row}}, fleet.label)
    assert status == 400
    assert b"archive" in body and b"library" in body and b"secret" not in body
    change = {"upsert": {"tenants": row}, "remove": {"tenants": ["archive"]}}
    assert patch(fleet, change, fleet.label)[0] == 200
    for process in fleet.instances:
        wait_until(
            lambda p=process: is_run_for(fleet, p, "library"), "the key has moved"
        )
    read = ask(fleet.control[1].address(8403), "GET", "/-/config")
    tenants = json.loads(read.body)["tenants"]
    rows = [dict(zip(tenants["columns"], row, strict=True)) for row in tenants["rows"]]
    assert [(row["name"], row["apiKeys"]) for row in rows] == [
        ("library", ["secret-c"]),
        ("museum", ["secret-a", "secret-b"]),
    ]
    assert all("secret" not in process.log() for process in fleet.processes)
    logs = [process.log() for process in fleet.instances]
    assert all("forged" not in log for log in logs)


def is_run_for(fleet: Fleet, process: Process, organisation: str) -> bool:
    """Return whether a request with the key that moves has an organisation's name."""
    status, headers = send(fleet, process, CASES[2])
    head = head_seen(fleet, headers[f"{PREFIX}Request-Id".lower()])
    return status == 200 and head is not None and head[TENANT.lower()] == organisation
