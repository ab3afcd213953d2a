"""Kill control instances at their first start, before they have stored an identity.

They are then started again as the platform does it: with an empty folder, and told that
the fleet has started before.
"""

import pathlib
from collections.abc import Iterator

import pytest
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import FleetShape


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path, FleetShape(instances=0))
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("killed", [1, 2])
def test_founders_killed_at_their_first_start_do_not_stop_the_cluster(
    fleet: Fleet, killed: int
) -> None:
    for process in fleet.control[:killed]:
        process.start(first=True)
        process.kill()
        assert not list(process.folder.rglob("identity"))
        process.start(first=False)
    for process in fleet.control[killed:]:
        process.start(first=True)
    assert fleet.put(ROUTES) == 200
