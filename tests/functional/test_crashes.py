"""Check what becomes of a request that crashes each server that runs it.

Such a request comes again, at any machine, while the servers come back after each
crash. It must not crash more of them than it takes to know it, and what ran beside it
must go on being served.
"""

import contextlib
import pathlib
import threading
import time
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import wait_until
from platform_server import PlatformServer

CRASH_PATH = "/look/crash"
TRIES = 8
PAUSE_S = 0.7  # between tries; with the others, longer than servers are down
INNOCENT_PATHS = 40
HOLD_S = 0.05


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    running = Fleet(tmp_path)
    for server in servers_of(running):
        # A proxy before a server would go on listening after a crash.
        server.announced = server.address
        server.restart()
    try:
        running.start()
        yield running
    finally:
        with contextlib.suppress(OSError):
            running.stop()


def servers_of(fleet: Fleet) -> list[PlatformServer]:
    return [each.server for each in fleet.instances if each.server is not None]


class Innocents:
    """Requests that go on at all instances, until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self.statuses: list[tuple[int, str]] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(process, number))
            for number, process in enumerate(fleet.instances * 2)
        ]
        for thread in self._threads:
            thread.start()

    def _send(self, process: object, number: int) -> None:
        count = 0
        while not self._stop.is_set():
            count += 1
            path = f"/look/{(number + count) % INNOCENT_PATHS}"
            answer = process.request(path, "GET", f"in-{number}-{count}")  # type: ignore[attr-defined]
            reason = answer.headers.get("pimentobend-reason", "")
            self.statuses.append((answer.status, reason))
            time.sleep(0.02)

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()


@pytest.mark.parametrize("is_busy", [False, True], ids=["alone", "beside-others"])
def test_a_request_that_crashes_servers_is_blocked(
    fleet: Fleet, *, is_busy: bool
) -> None:
    servers = servers_of(fleet)
    for server in servers:
        server.crash_path = CRASH_PATH
        server.hold_s = HOLD_S if is_busy else 0.0
    innocents = Innocents(fleet) if is_busy else None
    answers = []
    try:
        for number in range(TRIES):
            process = fleet.instances[number % 2]
            answers.append(process.request(CRASH_PATH, "GET", f"crash-{number}"))
            time.sleep(PAUSE_S)
    finally:
        if innocents is not None:
            innocents.stop()
    crashed_by = [each for server in servers for each in server.crashed_by]
    assert len(crashed_by) <= 4, crashed_by
    refused = answers[-1]
    assert refused.status == 503
    assert refused.headers["pimentobend-reason"] == "crashes-servers"
    assert refused.headers["pimentobend-ran"] == "not-run"
    assert 60 < float(refused.headers["retry-after"]) <= 8 * 120
    if innocents is not None:
        assert not [each for each in innocents.statuses if "crashes" in each[1]]
    for process in fleet.instances:
        log = process.log()
        assert "'request-blocked'" in log
        assert log.count("'request-blocked'") <= 3
        wait_until(
            lambda p=process: p.request("/look/after").status == 200,
            "an innocent request is served",
        )


def test_a_block_survives_the_restart_of_any_daemon(fleet: Fleet) -> None:
    servers = servers_of(fleet)
    for server in servers:
        server.crash_path = CRASH_PATH
    for number in range(TRIES):
        fleet.instances[0].request(CRASH_PATH, "GET", f"crash-{number}")
    crashes = sum(len(server.crashed_by) for server in servers)
    for process in fleet.instances:
        other = next(each for each in fleet.instances if each is not process)
        process.kill()
        before = len(process.log())
        process.start()
        wait_until(process.is_ready, "the restarted instance is ready")
        wait_until(
            lambda p=process: p.request("/look/after").status == 200,
            "an innocent request is served",
        )
        # Its own reports come back from the other daemons, and theirs with the rows.
        wait_until(
            lambda p=process, at=before: "'request-blocked'" in p.log()[at:],
            "the restarted instance knows the block",
        )
        for refusing in (process, other):
            answer = refusing.request(CRASH_PATH, "GET", f"again-{process.ip}")
            assert answer.status == 503
            assert answer.headers["pimentobend-reason"] == "crashes-servers"
    assert sum(len(server.crashed_by) for server in servers) == crashes
