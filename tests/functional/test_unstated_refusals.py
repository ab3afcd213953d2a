"""Let servers answer with statuses that promise callers that nothing ran.

A booking that a server had run and answered 503, without stating that it had not run,
reached its caller as 503, and the caller booked once more. 408 and 429 did the same.
"""

import contextlib
from collections.abc import Iterator

import processes
import pytest
from own_fleet import start_instance
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_fleet import wait_until_trusted
from platform_process import Answer
from platform_server import PREFIX
from raw_backend import RawBackend

STAMP = f"{PREFIX}Server-Stamp".lower()
STATED = f"{PREFIX}Not-Executed: 1\r\n"
RETRY = "Retry-After: 3\r\n"
CLOSE = "Connection: close\r\n"
LENGTH = "Content-Length: 2\r\n\r\nok"
CHUNKS = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
# Which of the two servers runs nothing: the daemon's own, or that of another daemon.
DRAINED = [pytest.param(1, id="local"), pytest.param(0, id="remote")]

UNSTATED = [  # status, fields and body
    pytest.param("408", LENGTH, id="408"),
    pytest.param("429", LENGTH, id="429"),
    pytest.param("503", LENGTH, id="503"),
    pytest.param("503", RETRY + LENGTH, id="503-retry-after"),
    pytest.param("429", RETRY + CLOSE + LENGTH, id="429-close"),
    pytest.param("503", CHUNKS, id="503-chunks"),
]
REFUSED = [
    pytest.param("503", STATED + LENGTH, id="503"),
    pytest.param("429", STATED + RETRY + LENGTH, id="429-retry-after"),
    pytest.param("421", LENGTH, id="421"),
]
PASSED_ON = [
    *(
        ("book", status)
        for status in [
            "200",
            "400",
            "404",
            "409",
            "422",
            "425",
            "500",
            "501",
            "504",
            "511",
        ]
    ),
    *(("look", status) for status in ["200", "404", "408", "429", "503"]),
]


@pytest.fixture(scope="module", params=DRAINED)
def running(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Fleet]:
    """Run a fleet with one server that is not drained."""
    with run_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        drained = fleet.instances[request.param].server
        assert drained is not None
        drained.state = "draining"
        wait_until(lambda: drained.beat() == 200, "one server is draining")
        yield fleet


@pytest.fixture
def fleet(running: Fleet) -> Fleet:
    """Wait until the next booking is sent: answers of earlier rows raised the risk."""
    wait_until_trusted(running.instances[0])
    return running


def send(fleet: Fleet, route: str, status: str, rest: str) -> tuple[Answer, int]:
    """Send a request that servers answer so; also return how often it ran."""
    servers = [each.server for each in fleet.instances if each.server is not None]
    start, end = f"HTTP/1.1 {status} X\r\n".encode(), rest.encode()
    request_id = f"{route}-{status}-{len(servers[0].ran)}-{len(servers[1].ran)}"
    for server in servers:
        server.encode = lambda head: start + head + end
    method = "POST" if route == "book" else "GET"
    answer = fleet.instances[0].request(f"/{route}/1", method, request_id)
    for server in servers:
        server.encode = None
    return answer, sum(server.ran.count(request_id) for server in servers)


@pytest.mark.parametrize(("status", "rest"), UNSTATED)
def test_a_promise_that_no_server_gave_reaches_no_caller(
    fleet: Fleet, status: str, rest: str
) -> None:
    answer, ran = send(fleet, "book", status, rest)
    assert ran == 1
    assert answer.status == 502
    assert answer.headers["pimentobend-ran"] == "unknown"
    assert not {STAMP, "retry-after", f"{PREFIX}Not-Executed".lower()} & {
        *answer.headers
    }


@pytest.mark.parametrize(("status", "rest"), REFUSED)
def test_a_stated_refusal_stays_a_refusal(fleet: Fleet, status: str, rest: str) -> None:
    answer, _ = send(fleet, "book", status, rest)
    assert answer.status == 503
    assert answer.headers["pimentobend-ran"] == "not-run"
    assert "retry-after" in answer.headers
    assert STAMP not in answer.headers


@pytest.mark.parametrize(("route", "status"), PASSED_ON)
def test_other_answers_are_passed_on_unchanged(
    fleet: Fleet, route: str, status: str
) -> None:
    answer, _ = send(fleet, route, status, LENGTH)
    assert (answer.status, answer.body) == (int(status), b"ok")
    assert answer.headers[STAMP] == "stamp"
    assert answer.headers["pimentobend-ran"] == "ran"


OWN_ID = "Pimentobend-Request-Id: {request-id}\r\n"
NOT_RUN = "Pimentobend-Ran: not-run\r\n"
# Route, the server's status and statement, and the caller's status and outcome.
OWN_ANSWERS = [
    *(("book", status, "", 502, "unknown") for status in (408, 421, 429, 503)),
    ("book", 503, NOT_RUN, 503, "not-run"),
    ("book", 429, NOT_RUN, 503, "not-run"),
    ("book", 409, "", 409, "ran"),
    ("book", 500, "", 500, "ran"),
    ("look", 429, "", 429, "ran"),
    ("look", 503, "", 503, "ran"),
    ("look", 404, "Pimentobend-Ran: unknown\r\n", 404, "ran"),
    ("book", 500, "Pimentobend-Reason: x\r\nPimentobend-Ran: unknown\r\n", 500, "ran"),
]


def name_of(status: int, statement: str) -> str:
    return f"{status}-{len(statement)}"


@pytest.fixture(scope="module")
def own_callers(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Return the callers' address of an instance of the own interface."""
    answers = {
        name_of(status, statement): (
            f"HTTP/1.1 {status} X\r\n{OWN_ID}{statement}{RETRY}{LENGTH}".encode()
        )
        for _, status, statement, *_ in OWN_ANSWERS
    }
    # The instance is ready once it is answered 200.
    answers["200"] = f"HTTP/1.1 200 X\r\n{OWN_ID}{LENGTH}".encode()
    folder = tmp_path_factory.mktemp("own")
    with contextlib.ExitStack() as stack:
        fleet = processes.Fleet(folder)
        stack.callback(fleet.stop)
        server = stack.enter_context(contextlib.closing(RawBackend(answers)))
        yield start_instance(fleet, folder, [server.port])


@pytest.mark.parametrize(
    ("route", "status", "statement", "expected", "outcome"), OWN_ANSWERS
)
def test_a_caller_of_the_own_interface(
    own_callers: str,
    route: str,
    status: int,
    statement: str,
    expected: int,
    outcome: str,
) -> None:
    url = f"http://{own_callers}/{route}/{name_of(status, statement)}"
    answer = processes.call("GET", url)
    assert answer.status == expected
    assert answer.headers["Pimentobend-Ran"] == outcome
    assert answer.headers.get("Pimentobend-Reason") != "x"
    assert ("Retry-After" in answer.headers) is (outcome != "unknown")
