"""Let servers answer with invalid statuses, and check what their callers get.

The platform's callers got 700 and 999 as answers; they must get an error that says
that the outcome is unknown, and a repeatable request must be sent again.
"""

import contextlib
import itertools
from collections.abc import Iterator

import processes
import pytest
from own_fleet import start_instance
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_fleet import wait_until_trusted
from platform_process import Answer
from platform_process import ask
from platform_server import PREFIX
from raw_backend import RawBackend

STATUSES = ["000", "099", "199", "600", "700", "999"]
DEADLINE_MS = "3000"
BRIEF_MS = "500"
IN_A_ROW = 4  # two at each host
ROUTES = [("look", 2), ("book", 1)]  # and how often a request is sent at least
MAX_SENT = {"look": 3, "book": 1}
ERRORS = (502, 504)
WARM_UP = 15  # answers that allow the own interface two retries
NUMBERS = itertools.count(1)


@pytest.fixture(scope="module")
def platform_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with run_fleet(tmp_path_factory.mktemp("platform")) as running:
        # Until the allowance of the retry budget counts, look-ups earn a repeat now and
        # then, but never so many in a row.
        wait_until(
            lambda: all(
                send(running, "look", "500", BRIEF_MS)[1] > 1 for _ in range(IN_A_ROW)
            ),
            "requests are repeated at both hosts",
        )
        yield running


@pytest.fixture
def ready_fleet(platform_fleet: Fleet) -> Fleet:
    """Wait until the next booking is sent: answers of earlier rows raised the risk."""
    wait_until_trusted(platform_fleet.instances[0])
    return platform_fleet


def send(
    fleet: Fleet, route: str, status: str, deadline_ms: str = DEADLINE_MS
) -> tuple[Answer, int]:
    """Send a request while all servers answer a status; also return how often it ran.

    The servers answer as usual afterwards.
    """
    origin = fleet.instances[0]
    servers = [each.server for each in fleet.instances if each.server]
    request_id = f"{route}-{next(NUMBERS)}"
    headers = {
        "Host": "a.example",
        f"{PREFIX}Request-Id": request_id,
        f"{PREFIX}Deadline-Ms": deadline_ms,
    }
    for server in servers:
        server.status = status
    answer = ask(origin.address(8400), "GET", f"/{route}/1", headers=headers)
    for server in servers:
        server.status = ""
    sent = [each for server in servers for each in server.ran].count(request_id)
    wait_until(lambda: origin.request().status == 200, "requests are served")
    return answer, sent


@pytest.mark.parametrize(("route", "least_sent"), ROUTES)
@pytest.mark.parametrize("status", STATUSES)
def test_the_platforms_caller_gets_an_error(
    ready_fleet: Fleet, status: str, route: str, least_sent: int
) -> None:
    answer, sent = send(ready_fleet, route, status)
    assert answer.status in ERRORS
    assert f"{PREFIX}Not-Executed".lower() not in answer.headers
    assert least_sent <= sent <= MAX_SENT[route]


@pytest.mark.parametrize(("route", "least_sent"), ROUTES)
@pytest.mark.parametrize("status", STATUSES)
def test_a_caller_of_the_own_interface_gets_an_error(
    own_callers: str,
    servers: list[RawBackend],
    status: str,
    route: str,
    least_sent: int,
) -> None:
    for _ in range(WARM_UP):
        processes.call("GET", f"http://{own_callers}/look/200")
    headers = {"Pimentobend-Deadline-Ms": DEADLINE_MS}
    url = f"http://{own_callers}/{route}/{status}"
    answer = processes.call("GET", url, headers=headers)
    sent = sum(
        f"/{route}/{status} ".encode() in each
        for server in servers
        for each in server.requests
    )
    assert answer.status in ERRORS
    assert answer.headers["Pimentobend-Ran"] == "unknown"
    assert least_sent <= sent <= MAX_SENT[route]


@pytest.fixture(scope="module")
def servers() -> Iterator[list[RawBackend]]:
    answers = {
        status: f"HTTP/1.1 {status} X\r\nPimentobend-Request-Id: {{request-id}}\r\n"
        "Content-Length: 2\r\n\r\nok".encode()
        for status in [*STATUSES, "200"]
    }
    with contextlib.ExitStack() as stack:
        backends = [RawBackend(answers) for _ in range(2)]
        for backend in backends:
            stack.callback(backend.close)
        yield backends


@pytest.fixture(scope="module")
def own_callers(
    tmp_path_factory: pytest.TempPathFactory, servers: list[RawBackend]
) -> Iterator[str]:
    """Return the callers' address of an instance with two servers."""
    folder = tmp_path_factory.mktemp("own")
    fleet = processes.Fleet(folder)
    try:
        ports = [server.port for server in servers]
        yield start_instance(fleet, folder, ports)
    finally:
        fleet.stop()
