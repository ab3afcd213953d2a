"""Check that the faults of one process never meet, and that addresses are free."""

import pathlib
import signal
import socket
import threading
import time
from typing import Any

import platform_fleet
import pytest
from fleet_soak import Soak
from soak_faults import Step

STOP_TAKES_S = 0.3
FAULTS = ("kill", "stop", "pause", "wipe")  # those that end or hold a process


class SlowProcess:
    """Record whether it was started while it ran; a stop takes its time."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.ip = "127.0.0.1"
        self.is_control = False
        self.folder = folder
        self.lock = threading.Lock()
        self.is_running = True
        self.wrong: list[str] = []

    def signal(self, number: signal.Signals) -> None:
        if not self.is_running:
            self.wrong.append(f"{number.name} without a process")

    def wait(self) -> int:
        time.sleep(STOP_TAKES_S)
        self.is_running = False
        return 0

    def kill(self) -> None:
        self.is_running = False

    def start(self) -> None:
        if self.is_running:
            self.wrong.append("started twice")
        self.is_running = True


class OneProcess:
    """Stand in for a fleet."""

    def __init__(self, process: SlowProcess) -> None:
        self.processes = [process]


@pytest.mark.parametrize("second", FAULTS)
@pytest.mark.parametrize("first", FAULTS)
def test_a_fault_waits_for_the_one_before(
    first: str, second: str, tmp_path: pathlib.Path
) -> None:
    process = SlowProcess(tmp_path)
    soak = Soak(tmp_path)
    fleet: Any = OneProcess(process)
    soak.fleet = fleet
    began = time.monotonic()
    threads = [
        threading.Thread(target=soak._play, args=(Step(at_s, fault, 0, 0.1), began))
        for at_s, fault in ((0.0, first), (0.05, second))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert process.wrong == []
    assert process.is_running


@pytest.mark.parametrize("port", platform_fleet.PORTS)
def test_an_address_in_use_is_not_free(port: int) -> None:
    block = platform_fleet.free_block()
    ip = f"127.{block}.0.4"
    assert platform_fleet.is_free(ip)
    with socket.socket() as taken:
        taken.bind((ip, port))
        taken.listen()
        assert not platform_fleet.is_free(ip)
