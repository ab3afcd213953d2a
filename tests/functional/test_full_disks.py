"""Fill the disks of the control instances, one after another, while changes come.

Long after the last disk had room again, changes were refused, or stayed unanswered, at
operators of a system like this one.
"""

import pathlib
import resource
import time
from collections.abc import Iterator
from typing import Any

import processes
import pytest
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until
from replicas import RETRIED_STATUSES
from replicas import Replicas

# Short, and longer than a voter may stay silent before it is replaced.
FULL_FOR_S = [1.5, 4.0]
ROUNDS = 2
CHANGES_AFTER = 5
# A leader whose disk is full says that the change was not run.
RETRIED = (*RETRIED_STATUSES, 507)


class Disk:
    """Data folder of a process, which can be full."""

    def __init__(self, pid: int, folder: pathlib.Path) -> None:
        self._pid = pid
        self._folder = folder

    def fill(self) -> None:
        """Let no file of the process grow beyond the largest one in the folder."""
        files = [path for path in self._folder.rglob("*") if path.is_file()]
        self._limit(max((path.stat().st_size for path in files), default=0))

    def free(self) -> None:
        self._limit(resource.RLIM_INFINITY)

    def _limit(self, size_bytes: int) -> None:
        limits = (size_bytes, resource.RLIM_INFINITY)
        resource.prlimit(self._pid, resource.RLIMIT_FSIZE, limits)


@pytest.fixture
def platform_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


def routes_with(number: int) -> dict[str, Any]:
    """Return the routes with one whose path holds a number."""
    added = ["new", "b.example", f"/new{number}/", "safe", 10, "shop"]
    return {**ROUTES, "rows": [*ROUTES["rows"], added]}


@pytest.mark.parametrize("full_for_s", FULL_FOR_S)
def test_changes_are_accepted_after_all_disks_were_full(
    platform_fleet: Fleet, full_for_s: float
) -> None:
    changes = 0
    for process in platform_fleet.control * ROUNDS:
        disk = Disk(process.pid, process.folder / "data")
        disk.fill()
        until = time.monotonic() + full_for_s
        while time.monotonic() < until:
            changes += 1
            assert platform_fleet.put(routes_with(changes)) == 200
        disk.free()
    for _ in range(CHANGES_AFTER):
        changes += 1
        assert platform_fleet.put(routes_with(changes)) == 200
    label = platform_fleet.label
    wait_until(
        lambda: platform_fleet.read() == [label] * len(platform_fleet.control),
        "the newest version is read at every control instance",
    )


@pytest.mark.parametrize("full_for_s", FULL_FOR_S)
def test_the_own_interface_accepts_changes_after_all_disks_were_full(
    fleet: processes.Fleet, full_for_s: float
) -> None:
    replicas = Replicas(fleet, 3)
    changes = 0
    for name in replicas.names * ROUNDS:
        folder = pathlib.Path(str(replicas.settings[name]["data_folder"]))
        disk = Disk(replicas.pid(name), folder)
        disk.fill()
        until = time.monotonic() + full_for_s
        while time.monotonic() < until:
            changes += 1
            replicas.apply(replicas.names[changes % 3], changes, RETRIED)
        disk.free()
    changes += 1
    replicas.apply(replicas.names[0], changes, RETRIED)
    for _ in range(CHANGES_AFTER):
        changes += 1
        replicas.apply(replicas.names[changes % 3], changes)
    expected = {f"r{number}" for number in range(changes + 1)}
    for name in replicas.names:
        processes.wait_until(lambda name=name: replicas.route_names(name) == expected)
