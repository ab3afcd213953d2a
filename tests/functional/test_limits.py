"""Check that a fleet of processes keeps organisations to their limits."""

import collections
import concurrent.futures
import http.client
import itertools
import re
import signal
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from limit_fleet import allowed
from limit_fleet import count_most
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_process import Process
from platform_process import wait_until
from platform_server import PREFIX

from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import LimitSettings

LIMIT = Limit(10, 10)
TENANTS = {
    "columns": ["name", "apiKeys", "ratePerS", "burst"],
    "rows": [["museum", ["limited"], *LIMIT], ["archive", ["free"], None, None]],
}
REQUEST_IDS = (f"limit-{number}" for number in itertools.count())
SENDERS = 32


class Answer(NamedTuple):
    """A request with its answer; the time of sending is monotonic, in seconds."""

    sent_at: float
    request_id: str
    status: int
    headers: dict[str, str]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with run_fleet(tmp_path_factory.mktemp("fleet")) as running:
        assert running.put(ROUTES, TENANTS) == 200
        for process in running.instances:
            wait_until(
                lambda p=process: send(running, p, "").status == 401, "keys are asked"
            )
        yield running


def send(fleet: Fleet, process: Process, key: str) -> Answer:
    """Send a request from another machine."""
    request_id = next(REQUEST_IDS)
    connection = http.client.HTTPConnection(
        process.address(8400),
        timeout=12,
        source_address=(f"127.{fleet.block}.0.200", 0),
    )
    headers = {"Host": "a.example", f"{PREFIX}Request-Id": request_id}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    sent_at = time.monotonic()
    try:
        connection.request("GET", "/look/1", headers=headers)
        response = connection.getresponse()
        response.read()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(sent_at, request_id, response.status, found)
    finally:
        connection.close()


def play(
    fleet: Fleet,
    key: str,
    rate_per_s: float,
    seconds: float,
    disturb: Callable[[Fleet], None] = lambda _: None,
) -> list[Answer]:
    """Send requests to all instances in turn, and disturb the fleet halfway."""
    begin = time.monotonic()
    count = int(rate_per_s * seconds)
    futures = []
    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        for number in range(count):
            time.sleep(max(0.0, begin + number / rate_per_s - time.monotonic()))
            if number == count // 2:
                disturb(fleet)
            process = fleet.instances[number % len(fleet.instances)]
            futures.append(pool.submit(send, fleet, process, key))
    return [future.result() for future in futures]


def find_leader(fleet: Fleet) -> Process:
    """Return the leader that the first living control instance knows."""
    for process in fleet.control:
        found = re.findall(r"event='leader'.* leader='([^']*)'", process.log())
        if found and not process.has_ended():
            return next(c for c in fleet.control if f"{c.ip}:" in found[-1])
    raise AssertionError("no leader is known")


def kill_leader(fleet: Fleet) -> None:
    find_leader(fleet).kill()


def freeze_leader(fleet: Fleet) -> None:
    find_leader(fleet).signal(signal.SIGSTOP)


def mend(fleet: Fleet) -> None:
    """Start or resume the control instances."""
    for process in fleet.control:
        if process.has_ended():
            process.start()
        process.signal(signal.SIGCONT)


def has_run(fleet: Fleet, request_id: str) -> bool:
    servers = [process.server for process in fleet.instances]
    return any(server and request_id in server.heads for server in servers)


CASES = [
    ("no limit", "free", 30.0, lambda _: None, {200}),
    ("within the limit", "limited", 9.0, lambda _: None, {200}),
    ("over the limit", "limited", 70.0, lambda _: None, {200, 429}),
    ("leader killed", "limited", 70.0, kill_leader, {200, 429, 503}),
    ("leader frozen", "limited", 70.0, freeze_leader, {200, 429, 503}),
]


@pytest.mark.parametrize(
    ("key", "rate_per_s", "disturb", "statuses"),
    [c[1:] for c in CASES],
    ids=[c[0] for c in CASES],
)
def test_a_fleet_admits_what_a_limit_allows(
    fleet: Fleet,
    key: str,
    rate_per_s: float,
    disturb: Callable[[Fleet], None],
    statuses: set[int],
) -> None:
    """Guards against more requests than the bound, and against false refusals."""
    time.sleep(3.0)  # in which a bucket fills up
    try:
        answers = play(fleet, key, rate_per_s, 8.0, disturb)
    finally:
        mend(fleet)
    assert {answer.status for answer in answers} == statuses
    ran = [answer for answer in answers if has_run(fleet, answer.request_id)]
    assert {answer.status for answer in ran} == {200}
    for answer in answers:
        if answer.status != 200:
            reason = {429: "over-limit", 503: "limit-unknown"}[answer.status]
            assert answer.headers["pimentobend-reason"] == reason
            assert answer.headers["pimentobend-ran"] == "not-run"
            assert float(answer.headers["retry-after"]) > 0
    if key == "limited":
        settings = LimitSettings()
        most = count_most([answer.sent_at for answer in ran], settings.window_s)
        assert most <= allowed(LIMIT, settings)
    print(collections.Counter(answer.status for answer in answers))
