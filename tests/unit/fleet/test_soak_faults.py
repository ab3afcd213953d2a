"""Check two helpers of the soak test.

Faults of one process do not overlap, and an address with a port in use is not free.
"""

import pathlib
import signal
import socket
import threading
import time
from typing import Any

import platform_fleet
import pytest
from fleet_soak import Soak
from soak_faults import ScheduledFault

SHUTDOWN_S = 0.3  # longer than the time between the two faults of the test
FAULTS = ("kill", "stop", "pause", "wipe")  # the faults that end or suspend a process


class SlowProcess:
    """Process with a slow shutdown that records wrong starts and signals."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.ip = "127.0.0.1"
        self.is_control = False
        self.folder = folder
        self.lock = threading.Lock()
        self.is_running = True
        self.errors: list[str] = []

    def signal(self, number: signal.Signals) -> None:
        if not self.is_running:
            self.errors.append(f"{number.name} sent while the process was not running")

    def wait(self) -> int:
        time.sleep(SHUTDOWN_S)
        self.is_running = False
        return 0

    def kill(self) -> None:
        self.is_running = False

    def start(self) -> None:
        if self.is_running:
            self.errors.append("started while the process was running")
        self.is_running = True


class SingleProcessFleet:
    """Fleet that consists of one fake process."""

    def __init__(self, process: SlowProcess) -> None:
        self.processes = [process]


@pytest.mark.parametrize("second", FAULTS)
@pytest.mark.parametrize("first", FAULTS)
def test_fault_waits_for_the_previous_one(
    first: str, second: str, tmp_path: pathlib.Path
) -> None:
    process = SlowProcess(tmp_path)
    soak = Soak(tmp_path)
    fleet: Any = SingleProcessFleet(process)
    soak.fleet = fleet
    started_at = time.monotonic()
    threads = [
        threading.Thread(
            target=soak._inject,
            args=(ScheduledFault(start_s, fault, 0, 0.1), started_at),
        )
        for start_s, fault in ((0.0, first), (0.05, second))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert process.errors == []
    assert process.is_running


@pytest.mark.parametrize("port", platform_fleet.PORTS)
def test_address_in_use_is_not_free(port: int) -> None:
    block = platform_fleet.free_block()
    ip = f"127.{block}.0.4"
    assert platform_fleet.is_free(ip)
    with socket.socket() as listener:
        listener.bind((ip, port))
        listener.listen()
        assert not platform_fleet.is_free(ip)
