"""Let a server send bytes without end, and check how much memory its callers take.

A daemon that keeps such bytes runs out of memory, and the requests of all callers on
its machine end with it.
"""

import contextlib
import http.client
import json
import pathlib
import threading
from collections.abc import Iterator
from typing import Any

import processes
import pytest
from endless_server import ENDLESS
from endless_server import EndlessServer
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import run_fleet
from platform_fleet import wait_until
from platform_server import PREFIX
from settings_of import control_settings
from settings_of import instance_settings

CALLERS = 8
REQUESTS = 12  # of each caller
DEADLINE_MS = 1500
READ_BYTES = 1 << 20  # of each answer; then the caller closes
# A machine has 200 MB or more, of which a daemon takes about 50 MB.
MAX_GROWTH_KB = 64 * 1024
TABLES = {
    "routes": [{"name": "look", "path": "/look", "pool": "look", "repeatable": True}],
    "pools": [{"name": "look", "service": "look"}],
}


def memory_kb(pid: int, field: str) -> int:
    """Return a figure of a process's memory in KB: ``VmRSS``, ``VmHWM`` (the peak)."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (each for each in status.splitlines() if each.startswith(f"{field}:"))
    return int(line.split()[1])


def send_all(address: str, headers: dict[str, str], path: str) -> None:
    """Send requests side by side; read a part of each answer, then close."""

    def run(caller: int) -> None:
        for number in range(REQUESTS):
            connection = http.client.HTTPConnection(address, timeout=5)
            with contextlib.suppress(OSError, http.client.HTTPException):
                request_id = {f"{PREFIX}Request-Id": f"{caller}-{number}"}
                connection.request("GET", path, headers={**headers, **request_id})
                connection.getresponse().read(READ_BYTES)
            connection.close()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.fixture
def platform_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(
        tmp_path, FleetShape(slots=CALLERS, has_server_proxies=False)
    ) as running:
        yield running


@pytest.mark.parametrize("kind", ENDLESS)
def test_the_platforms_daemons_do_not_keep_bytes_without_end(
    platform_fleet: Fleet, kind: str
) -> None:
    origin, host = platform_fleet.instances
    assert origin.server is not None
    assert host.server is not None
    origin.server.state = "draining"
    wait_until(lambda: origin.server.beat() == 200, "one server is draining")
    before = [memory_kb(each.pid, "VmRSS") for each in (origin, host)]
    host.server.endless = ENDLESS[kind]
    headers = {"Host": "a.example", f"{PREFIX}Deadline-Ms": str(DEADLINE_MS)}
    send_all(origin.address(8400), headers, "/look/1")
    host.server.endless = None
    peaks = [memory_kb(each.pid, "VmHWM") for each in (origin, host)]
    growth = [peak - start for peak, start in zip(peaks, before, strict=True)]
    assert max(growth) < MAX_GROWTH_KB
    wait_until(lambda: origin.request().status == 200, "requests are served again")


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_instance_does_not_keep_bytes_without_end(
    fleet: processes.Fleet, tmp_path: pathlib.Path, kind: str
) -> None:
    control = control_settings("control-1", str(tmp_path))
    instance = instance_settings("instance-1", control["control"])
    fleet.start_daemon(control)
    process = fleet.start_daemon(instance)
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={control['listen']['operators']}"
    processes.wait_until(
        lambda: fleet.run_client("apply", operators, str(tables)).returncode == 0
    )
    with contextlib.closing(EndlessServer(*ENDLESS[kind])) as server:
        announce(instance, server)
        before = memory_kb(process.pid, "VmRSS")
        headers = {"Pimentobend-Deadline-Ms": str(DEADLINE_MS)}
        send_all(instance["listen"]["callers"], headers, "/look/1")
        assert memory_kb(process.pid, "VmHWM") - before < MAX_GROWTH_KB
        assert server.requests


def announce(instance: dict[str, Any], server: EndlessServer) -> None:
    """Announce a server to an instance and wait until it is listed."""
    document = {
        "server_id": "look-1",
        "service": "look",
        "host": "127.0.0.1",
        "port": server.port,
        "slots": CALLERS,
        "data_centre": "nord-a",
        "region": "nord",
        "state": "ready",
        "incarnation": 1,
        "lease_s": 60.0,
    }
    listen = instance["listen"]
    url = f"http://{listen['servers']}/announce"
    assert processes.call("POST", url, json.dumps(document).encode()).status == 200
    servers = f"http://{listen['operators']}/v1/servers"
    processes.wait_until(lambda: b"look-1" in processes.call("GET", servers).content)
