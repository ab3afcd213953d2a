"""Kill, restart and replace control replicas and check the accepted changes."""

import pathlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from processes import Fleet
from processes import wait_until
from replicas import Accepted
from replicas import Replicas

from pimentobendd.restore import main

CHANGES = 24
KILL_BEFORE_CHANGE = 8
WAKE_UPS = 3
IN_FLIGHT_S = 0.2  # until a request is in the socket of a process that is paused
ELECTION_WAIT_S = 5.0  # several election timeouts


def _link(replicas: Replicas, name: str) -> str:
    listen: dict[str, Any] = replicas.settings[name]["listen"]
    return str(listen["link"])


@pytest.mark.parametrize("victim", ["leader", "follower"])
def test_sigkill_during_changes_loses_nothing(fleet: Fleet, victim: str) -> None:
    replicas = Replicas(fleet, 3)
    wait_until(replicas.leader)
    leader = replicas.leader()
    others = [name for name in replicas.names if name != leader]
    killed = leader if victim == "leader" else others[0]
    assert killed is not None
    killing = threading.Thread(target=replicas.kill, args=[killed])
    accepted: list[Accepted] = []
    for number in range(CHANGES):
        if number == KILL_BEFORE_CHANGE:
            killing.start()
        accepted.append(replicas.apply(others[number % 2], number))
    killing.join()
    versions = [each.version for each in accepted]
    assert versions == sorted(set(versions))
    replicas.start(killed)
    expected = {f"r{each.number}" for each in accepted}
    for name in replicas.names:
        wait_until(lambda name=name: replicas.route_names(name) == expected)
        assert replicas.status(name)["version"] == replicas.version


def test_a_leader_that_wakes_up_refuses_no_accepted_change(fleet: Fleet) -> None:
    """It answered a conflict from what it had known before it was paused."""
    replicas = Replicas(fleet, 3)
    number = 0
    for _ in range(WAKE_UPS):
        replicas.apply(replicas.names[0], number)
        wait_until(replicas.leader)
        leader = replicas.leader()
        assert leader is not None
        other = next(name for name in replicas.names if name != leader)
        replicas.pause(leader)
        replicas.apply(other, number + 1)
        base = replicas.version
        number += 2
        replicas.apply(other, number)
        with ThreadPoolExecutor() as pool:
            again = pool.submit(replicas.send, leader, number, base)
            time.sleep(IN_FLIGHT_S)
            replicas.resume(leader)
            assert again.result().status in (200, 503, 504)
        number += 1


def test_all_replicas_are_killed_and_restarted(fleet: Fleet) -> None:
    replicas = Replicas(fleet, 3)
    for number in range(5):
        replicas.apply(replicas.names[number % 3], number)
    before = replicas.version
    for name in replicas.names:
        replicas.kill(name)
    for name in replicas.names:
        replicas.start(name)
    wait_until(lambda: replicas.status(replicas.names[0])["version"] == before)
    replicas.apply(replicas.names[1], 5)
    expected = {f"r{n}" for n in range(6)}
    for name in replicas.names:
        wait_until(lambda name=name: replicas.route_names(name) == expected)


def test_a_replica_is_replaced_and_a_second_one_lost(fleet: Fleet) -> None:
    replicas = Replicas(fleet, 3)
    replicas.apply(replicas.names[0], 0)
    wait_until(replicas.leader)
    leader = replicas.leader()
    assert leader is not None
    lost, second = (name for name in replicas.names if name != leader)
    replicas.kill(lost)
    replicas.join("control-new")
    address = _link(replicas, "control-new")
    for action, target in (
        ("add", address),
        ("promote", address),
        ("remove", _link(replicas, lost)),
    ):
        wait_until(
            lambda action=action, target=target: replicas.member_action(action, target)
        )
    replicas.kill(second)
    replicas.apply("control-new", 1)
    wait_until(lambda: replicas.route_names("control-new") == {"r0", "r1"})
    assert replicas.status("control-new")["version"] == replicas.version


def test_replica_at_a_reused_address_is_ignored_by_its_former_cluster(
    tmp_path: pathlib.Path,
) -> None:
    fleets = [Fleet(tmp_path / name) for name in ("first", "second")]
    for each in fleets:
        each.folder.mkdir()
    try:
        first, second = (Replicas(each, 3) for each in fleets)
        first.apply(first.names[0], 0)
        second.apply(second.names[0], 0)
        wait_until(first.leader)
        leader = first.leader()
        assert leader is not None
        lost, survivor = (name for name in first.names if name != leader)
        first.kill(lost)
        second.join("control-new", _link(first, lost))
        first.kill(leader)
        target = f"tables?version={first.version}&change=alone"
        body = b'{"routes": [], "pools": []}'
        deadline = time.monotonic() + ELECTION_WAIT_S
        while time.monotonic() < deadline:
            answer = first.request("PUT", survivor, target, body)
            assert answer.status in (503, 504), (
                "one replica alone must not accept a change"
            )
        assert first.route_names(survivor) == {"r0"}
        assert second.route_names("control-new") <= {"r0"}
    finally:
        for each in fleets:
            each.stop()


def test_without_a_majority_changes_are_refused_as_not_run(fleet: Fleet) -> None:
    replicas = Replicas(fleet, 3)
    replicas.apply(replicas.names[0], 0)
    survivor, *others = replicas.names
    wait_until(lambda: replicas.route_names(survivor) == {"r0"})
    for name in others:
        replicas.kill(name)
    wait_until(lambda: replicas.status(survivor)["control"]["leader_id"] is None)
    target = f"tables?version={replicas.version}&change=late"
    answer = replicas.request("PUT", survivor, target, b'{"routes": [], "pools": []}')
    assert answer.status == 503
    assert b"not run" in answer.content
    assert replicas.route_names(survivor) == {"r0"}


def test_a_new_cluster_starts_from_a_copied_folder(fleet: Fleet) -> None:
    replicas = Replicas(fleet, 3)
    for number in range(5):
        replicas.apply(replicas.names[0], number)
    copied = replicas.names[1]
    expected = {f"r{n}" for n in range(5)}
    wait_until(lambda: replicas.route_names(copied) == expected)
    for name in replicas.names:
        replicas.kill(name)
    folder = f"{replicas.settings[copied]['data_folder']}/configuration"
    address = _link(replicas, copied)
    arguments = [f"--folder={folder}", f"--address={address}"]
    assert main(["restore", *arguments]) == 0
    before = tuple(int(part) for part in replicas.version.split("."))
    replicas.start(copied)
    wait_until(lambda: replicas.route_names(copied) == expected)
    replicas.version = replicas.status(copied)["version"]
    accepted = replicas.apply(copied, 5)
    assert accepted.version > before
