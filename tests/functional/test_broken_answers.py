"""Let servers send answers that break the grammar of HTTP; check what callers get.

A vertical tab beside ``chunked`` gave a caller the framing of the chunks as the body of
a complete answer.
"""

import itertools
from collections.abc import Iterator

import processes
import pytest
from answer_table import MALFORMED_CHUNKS
from answer_table import MALFORMED_LENGTHS
from answer_table import MALFORMED_LINES
from answer_table import MALFORMED_STATUSES
from answer_table import TRUNCATED_TRAILERS
from answer_table import VALID
from answer_table import AnswerCase
from own_fleet import start_instance
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_process import Answer
from platform_process import ask
from platform_server import PREFIX
from raw_backend import ECHO
from raw_backend import RawBackend

DEADLINE_MS = "3000"
ERRORS = (502, 504)
UNFINISHED = 0  # the connection ended before the answer did
ROUTES = [("look", 3), ("book", 1)]  # and how often a request is sent at most
VALID_BETWEEN = 15  # answers after which a server has its caller's trust again
ORIGINS = {"on the server's machine": 0, "over a hop": 1}
OWN_HEAD = b"Pimentobend-Request-Id: " + ECHO + b"\r\n"
NUMBERS = itertools.count(1)
NAMES = {
    "coding, VT before",
    "coding, FF after",
    "coding, 0x1f after",
    "coding, NBSP before",
    "coding, empty",
    "length, VT after",
    "length, NBSP after",
    "length, empty",
    "lengths that differ",
    "status 000",
    "no status",
    "VT after the status",
    "version 2",
    "a name with a blank",
    "a name with a control byte",
    "a blank before the colon",
    "no colon",
    "a continued line",
    "a value with NUL",
    "a value with VT",
}
HEADS = [
    case
    for case in [*MALFORMED_LENGTHS, *MALFORMED_STATUSES, *MALFORMED_LINES]
    if case.name in NAMES
]
BODY_NAMES = {
    "a size with a sign",
    "a blank before a size",
    "VT after a size",
    "other bytes after a chunk",
    "a trailer without a colon",
    "a trailer cut off",
}
BODIES = [
    case for case in [*MALFORMED_CHUNKS, *TRUNCATED_TRAILERS] if case.name in BODY_NAMES
]
CASES = [*HEADS, *BODIES, *VALID]


def _name(case: object) -> str | None:
    return case.name if isinstance(case, AnswerCase) else None


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet whose second instance has no server of the service."""
    shape = FleetShape(services=("shop", "other"))
    with run_fleet(tmp_path_factory.mktemp("platform"), shape) as running:
        yield running


def _send(
    fleet: Fleet, case: AnswerCase, route: str, origin: str
) -> tuple[Answer, int]:
    """Send a request that its server answers so; also return how often it ran."""
    server = fleet.instances[0].server
    assert server is not None
    instance = fleet.instances[ORIGINS[origin]]
    request_id = f"{route}-{next(NUMBERS)}"
    headers = {
        "Host": "a.example",
        f"{PREFIX}Request-Id": request_id,
        f"{PREFIX}Deadline-Ms": DEADLINE_MS,
    }
    for _ in range(VALID_BETWEEN):
        wait_until(lambda: instance.request().status == 200, "a request is served")
    server.encode = case.encode
    path = f"/{route}/{request_id}"
    answer = ask(instance.address(8400), "GET", path, headers=headers)
    server.encode = None
    return answer, server.ran.count(request_id)


@pytest.mark.parametrize("origin", ORIGINS)
@pytest.mark.parametrize(("route", "most_sent"), ROUTES)
@pytest.mark.parametrize("case", [*HEADS, *BODIES], ids=_name)
def test_the_platforms_caller_gets_an_error(
    fleet: Fleet, case: AnswerCase, route: str, most_sent: int, origin: str
) -> None:
    answer, sent = _send(fleet, case, route, origin)
    assert answer.status in ERRORS
    assert f"{PREFIX}Not-Executed".lower() not in answer.headers
    assert f"{PREFIX}Server-Stamp".lower() not in answer.headers
    assert 1 <= sent <= most_sent


@pytest.mark.parametrize("origin", ORIGINS)
@pytest.mark.parametrize("case", VALID, ids=_name)
def test_the_platforms_caller_gets_a_valid_answer(
    fleet: Fleet, case: AnswerCase, origin: str
) -> None:
    answer, sent = _send(fleet, case, "book", origin)
    assert (answer.status // 100, answer.body) == (2, case.content)
    assert sent == 1


@pytest.fixture(scope="module")
def server() -> Iterator[RawBackend]:
    answers = {str(number): case.encode(OWN_HEAD) for number, case in enumerate(CASES)}
    answers["200"] = AnswerCase("valid").encode(OWN_HEAD)
    backend = RawBackend(answers)
    yield backend
    backend.close()


@pytest.fixture(scope="module")
def callers(
    tmp_path_factory: pytest.TempPathFactory, server: RawBackend
) -> Iterator[str]:
    """Return the callers' address of an instance with one server."""
    folder = tmp_path_factory.mktemp("own")
    running = processes.Fleet(folder)
    try:
        yield start_instance(running, folder, [server.port])
    finally:
        running.stop()


def _send_own(
    callers: str, server: RawBackend, route: str, case: AnswerCase
) -> tuple[Answer, int]:
    """Send a request that its server answers so; also return how often it ran."""
    for _ in range(VALID_BETWEEN):
        wait_until(
            lambda: ask(callers, "GET", "/look/200").status == 200,
            "a request is served",
        )
    path = f"/{route}/{CASES.index(case)}"
    headers = {"Pimentobend-Deadline-Ms": DEADLINE_MS}
    server.requests.clear()
    answer = ask(callers, "GET", path, headers=headers)
    sent = sum(f"{path} ".encode() in each for each in server.requests)
    return answer, sent


@pytest.mark.parametrize(("route", "most_sent"), ROUTES)
@pytest.mark.parametrize("case", [*HEADS, *BODIES], ids=_name)
def test_a_caller_of_the_own_interface_gets_no_whole_answer(
    callers: str, server: RawBackend, case: AnswerCase, route: str, most_sent: int
) -> None:
    answer, sent = _send_own(callers, server, route, case)
    if case in HEADS:
        assert answer.status in ERRORS
        assert answer.headers["pimentobend-ran"] == "unknown"
    else:
        assert answer.status in (*ERRORS, UNFINISHED)
    assert 1 <= sent <= most_sent


@pytest.mark.parametrize("case", VALID, ids=_name)
def test_a_caller_of_the_own_interface_gets_a_valid_answer(
    callers: str, server: RawBackend, case: AnswerCase
) -> None:
    answer, sent = _send_own(callers, server, "book", case)
    assert (answer.status // 100, answer.body) == (2, case.content)
    assert sent == 1
