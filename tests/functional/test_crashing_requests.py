"""Send a request that crashes each server that begins to run it, again and again.

Without a memory of crashes, the instances send each copy on to the next servers, until
no server of the pool is left.
"""

import http.client
import json
import pathlib
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from processes import Answer
from processes import Fleet
from processes import Process
from processes import call
from processes import wait_until
from settings_of import control_settings
from settings_of import instance_settings

TABLES = {
    "routes": [
        {"name": "look", "path": "/look", "pool": "look", "repeatable": True},
        {"name": "book", "path": "/book", "pool": "look", "repeatable": False},
    ],
    "pools": [{"name": "look", "service": "look"}],
}
SERVERS = 8
POISON = "/look/poison"
BOOKING = "/book/poison"
CRASHES = 3  # a request may cause them before it is known
SETTLE_S = 4.0  # after the third crash, until which retries do not count
MAX_RETRIES = 3  # that may reach servers later than that
POISON_EVERY_S = 0.25
INNOCENT_EVERY_S = 0.05
PLAY_S = 14.0
ORGANISATION = {"Pimentobend-Organisation": "museum"}


class Site(NamedTuple):
    """The running fleet."""

    fleet: Fleet
    control: dict[str, Any]
    control_process: Process
    instances: list[dict[str, Any]]
    daemons: list[Process]
    stand_ins: list[Process]

    @property
    def callers(self) -> list[str]:
        """Return the address of each instance for callers."""
        return [f"http://{each['listen']['callers']}" for each in self.instances]

    def count_crashes(self) -> int:
        """Return how often the stand-ins have crashed."""
        return sum(each.log.read_text().count("crashed on") for each in self.stand_ins)


@pytest.fixture
def site(
    fleet: Fleet, tmp_path: pathlib.Path, request: pytest.FixtureRequest
) -> Iterator[Site]:
    """Start a control process, two instances, and stand-ins at both."""
    is_booking = "booking" in request.node.name
    control = control_settings("control-1", str(tmp_path))
    control_process = fleet.start_daemon(control)
    instances = [
        instance_settings(f"instance-{number}", control["control"])
        for number in range(2)
    ]
    daemons = [fleet.start_daemon(settings) for settings in instances]
    stand_ins = [
        fleet.start_stand_in(
            f"look-{number}",
            "--service=look",
            f"--daemon={instances[number % 2]['listen']['servers']}",
            f"--crash_on={BOOKING if is_booking else POISON}",
            "--crash_down_ms=1500",
        )
        for number in range(SERVERS)
    ]
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control['listen']['operators']}"
    wait_until(
        lambda: fleet.run_client("apply", operators, str(tables)).returncode == 0
    )
    site = Site(fleet, control, control_process, instances, daemons, stand_ins)
    for settings in instances:
        url = f"http://{settings['listen']['operators']}"
        wait_until(lambda url=url: len(_servers(url)) == SERVERS)  # type: ignore[misc]
    for url in site.callers:
        wait_until(lambda url=url: _send(url, "/look/1").status == 200)  # type: ignore[misc]
    yield site


def _servers(url: str) -> list[Any]:
    rows: list[Any] = json.loads(call("GET", f"{url}/v1/servers").content)["servers"]
    return rows


def _send(url: str, path: str) -> Answer:
    return call("GET", f"{url}{path}", None, ORGANISATION)


class _Traffic:
    """Callers that send one path at both instances in turn until it is stopped."""

    def __init__(self, site: Site, paths: list[str], every_s: float) -> None:
        self.answers: list[tuple[int, str, str | None, str | None]] = []
        self._site = site
        self._paths = paths
        self._every_s = every_s
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Wait until the last request is answered."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stop.wait(self._every_s):
            url = self._site.callers[number % 2]
            path = self._paths[number // 2 % len(self._paths)]
            number += 1
            try:
                answer = _send(url, path)
            except (OSError, http.client.HTTPException) as error:
                self.answers.append((0, type(error).__name__, None, None))
                continue
            headers = answer.headers
            self.answers.append(
                (
                    answer.status,
                    headers["Pimentobend-Ran"],
                    headers.get("Pimentobend-Reason"),
                    headers.get("Retry-After"),
                )
            )


def _play(site: Site, seconds: float) -> list[tuple[float, int]]:
    """Return the times (s) at which the number of crashes grew, and the numbers."""
    started = time.monotonic()
    seen = [(0.0, site.count_crashes())]
    while time.monotonic() - started < seconds:
        time.sleep(0.05)
        crashes = site.count_crashes()
        if crashes != seen[-1][1]:
            seen.append((round(time.monotonic() - started, 2), crashes))
    return seen


def _retries_late(seen: list[tuple[float, int]]) -> int:
    """Return how many crashes came later than ``SETTLE_S`` after the third."""
    third_at = next((at for at, crashes in seen if crashes >= CRASHES), None)
    if third_at is None:
        return 0
    settled = max(crashes for at, crashes in seen if at <= third_at + SETTLE_S)
    return seen[-1][1] - settled


def test_request_stops_crashing_servers(site: Site) -> None:
    innocent = _Traffic(site, ["/look/1", "/look/2", "/look/3"], INNOCENT_EVERY_S)
    poison = _Traffic(site, [POISON], POISON_EVERY_S)
    seen = _play(site, PLAY_S)
    poison.stop()
    innocent.stop()
    print("crashes (s, number):", seen)
    print("poison:", Counter(poison.answers))
    print("innocent:", Counter(innocent.answers))
    assert _retries_late(seen) <= MAX_RETRIES
    status, ran, reason, retry_after = poison.answers[-1]
    assert (status, ran, reason) == (503, "not-run", "crashes-servers")
    assert float(retry_after or 0) > 0
    assert {answer[2] for answer in innocent.answers} <= {None, "backend", "no-server"}
    assert [answer for answer in innocent.answers[-20:] if answer[0] != 200] == []


def _block(site: Site) -> None:
    """Send the request until both instances refuse it."""
    for url in site.callers:
        wait_until(lambda url=url: _send(url, POISON).status == 503)  # type: ignore[misc]
    wait_until(lambda: all(_send(url, "/look/1").status == 200 for url in site.callers))


def _restart_instance(site: Site, number: int) -> None:
    site.daemons[number].signal(signal.SIGKILL)
    site.daemons[number].wait()
    site.fleet.start_daemon(site.instances[number])
    url = site.callers[number]
    wait_until(lambda: _is_served(url))


def _restart_control(site: Site) -> None:
    terms = [_tree(settings)["position"][0] for settings in site.instances]
    site.control_process.signal(signal.SIGKILL)
    site.control_process.wait()
    site.fleet.start_daemon(site.control)
    for settings, term in zip(site.instances, terms, strict=True):
        wait_until(lambda row=settings, term=term: _is_published(row, term))  # type: ignore[misc]
    _restart_instance(site, 1)


def _tree(settings: dict[str, Any]) -> dict[str, Any]:
    dump = call("GET", f"http://{settings['listen']['operators']}/v1/dump").content
    state: dict[str, Any] = json.loads(dump)["spread-servers"]
    return state


def _is_published(settings: dict[str, Any], earlier_term: int) -> bool:
    """Return whether a new root has all rows of an instance."""
    state = _tree(settings)
    is_new = state["position"][0] > earlier_term
    return is_new and bool(state["live"]) and state["unconfirmed"] == 0


def _restart_all_instances(site: Site) -> None:
    _restart_instance(site, 0)
    _restart_instance(site, 1)


def _is_served(url: str) -> bool:
    try:
        return _send(url, "/look/1").status == 200
    except OSError:
        return False


RESTARTS: list[tuple[str, Callable[[Site], None]]] = [
    ("an instance", lambda site: _restart_instance(site, 1)),
    ("one instance after the other", _restart_all_instances),
    ("control, then an instance", _restart_control),
]


@pytest.mark.parametrize(
    "restart", [case[1] for case in RESTARTS], ids=[case[0] for case in RESTARTS]
)
def test_block_outlives_restarts(site: Site, restart: Callable[[Site], None]) -> None:
    _block(site)
    crashes = site.count_crashes()
    restart(site)
    answers = [_send(url, POISON) for url in site.callers]
    assert [answer.headers["Pimentobend-Reason"] for answer in answers] == [
        "crashes-servers",
        "crashes-servers",
    ]
    assert site.count_crashes() == crashes


def test_operators_see_the_blocked_request(site: Site) -> None:
    _block(site)
    rows = []
    for settings in site.instances:
        operators = f"--operators={settings['listen']['operators']}"
        shown = site.fleet.run_client("show", operators, "--json", "suspects")
        assert shown.returncode == 0, shown.stderr
        rows += [row for row in json.loads(shown.stdout) if row["state"] == "blocked"]
        table = site.fleet.run_client("show", operators, "suspects").stdout
        assert "fingerprint" in table
        assert "blocked" in table
    assert len({row["fingerprint"] for row in rows}) == 1
    assert len(rows) == 2
    assert any(POISON in (row["request"] or "") for row in rows)
    logs = "".join(each.log.read_text() for each in site.daemons)
    assert logs.count("event='server-crashed'") >= CRASHES
    assert logs.count("event='request-blocked'") >= len(site.instances)
    for settings in site.instances:
        dump = call("GET", f"http://{settings['listen']['operators']}/v1/dump")
        assert "suspects" in json.loads(dump.content)


def test_planned_end_of_a_server_is_no_crash(site: Site) -> None:
    answers: list[Answer] = []
    for number, server in enumerate(site.stand_ins[:4]):
        listen = site.instances[number % 2]["listen"]
        drained = site.fleet.run_client(
            "drain", f"--operators={listen['operators']}", f"look-{number}"
        )
        assert drained.returncode == 0, drained.stderr
        answers += [_send(url, "/look/1") for url in site.callers]
        server.stop()
    answers += [_send(url, "/look/1") for url in site.callers for _ in range(9)]
    assert {answer.status for answer in answers} == {200}
    for process in site.daemons:
        assert "server-crashed" not in process.log.read_text()


def test_blocked_booking_claims_no_key(site: Site) -> None:
    keys: list[str] = []

    def book(url: str) -> tuple[int, str, str | None]:
        keys.append(f"sign-{len(keys)}")
        headers = {**ORGANISATION, "Idempotency-Key": keys[-1]}
        answer = call("POST", f"{url}{BOOKING}", b"poison", headers)
        reason = answer.headers.get("Pimentobend-Reason")
        return (answer.status, answer.headers["Pimentobend-Ran"], reason)

    outcomes = [book(site.callers[0]) for _ in range(CRASHES)]
    assert outcomes == [(504, "unknown", "backend")] * CRASHES
    wait_until(lambda: book(site.callers[1])[2] == "crashes-servers")
    crashes = site.count_crashes()
    operators = f"--operators={site.instances[0]['listen']['operators']}"
    for url in site.callers:
        assert book(url) == (503, "not-run", "crashes-servers")
        found = site.fleet.run_client("lookup", operators, "museum", keys[-1])
        assert "state: free" in found.stdout, found
    assert site.count_crashes() == crashes
