"""Check that proofs of the tables reach the daemons of a fleet, and that they end."""

import pathlib
import signal
import time
from collections.abc import Callable

import pytest
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import Process
from platform_fleet import run_fleet
from platform_fleet import wait_until

REVOKE_S = 5.0
LOST, REGAINED = "'tables-proof-lost'", "'tables-proof-regained'"


def count(processes: list[Process], event: str) -> list[int]:
    """Return how often each process logged an event."""
    return [process.log().count(event) for process in processes]


def cut_off_by_crashes(fleet: Fleet) -> None:
    for process in fleet.control[:2]:
        process.kill()


def reconnect_by_restarts(fleet: Fleet) -> None:
    for process in fleet.control[:2]:
        process.start()


def freeze(fleet: Fleet) -> None:
    for process in fleet.instances:
        process.signal(signal.SIGSTOP)
    time.sleep(REVOKE_S)


def resume(fleet: Fleet) -> None:
    for process in fleet.instances:
        process.signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("cut_off", "reconnect"),
    [(cut_off_by_crashes, reconnect_by_restarts), (freeze, resume)],
    ids=["no-majority", "frozen-daemons"],
)
def test_a_daemon_loses_its_proof_and_regains_it(
    tmp_path: pathlib.Path,
    cut_off: Callable[[Fleet], None],
    reconnect: Callable[[Fleet], None],
) -> None:
    """Guards against proofs that outlive the bound, and that do not come back."""
    with run_fleet(tmp_path, FleetShape(revoke_s=REVOKE_S)) as fleet:
        wait_until(lambda: count(fleet.processes, REGAINED) == [1] * 5, "all proven")
        cut_off(fleet)
        if cut_off is cut_off_by_crashes:
            wait_until(lambda: count(fleet.instances, LOST) == [1, 1], "unproven")
            assert all(process.request().status == 200 for process in fleet.instances)
        reconnect(fleet)
        wait_until(lambda: count(fleet.instances, LOST) == [1, 1], "the loss is logged")
        wait_until(lambda: count(fleet.instances, REGAINED) == [2, 2], "proven again")


def test_no_proof_is_sent_without_the_setting(tmp_path: pathlib.Path) -> None:
    """Guards against frames that older daemons of a deployment refuse."""
    with run_fleet(tmp_path) as fleet:
        time.sleep(1.5)
        for process in fleet.processes:
            assert "proof" not in process.log()
            assert "frame-refused" not in process.log()
