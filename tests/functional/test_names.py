"""Send requests on routes with names of any text through two platform daemons.

Guards against requests that reach no other machine, and wait for their deadline, as
the name of their route fits into no header.
"""

import pathlib
from collections.abc import Iterator

import pytest
from platform_fleet import ROUTE_COLUMNS
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_fleet import run_fleet
from platform_fleet import wait_until

NAMES = {
    "Latin-1": "réservé",
    "Urdu": "بکنگ",
    "emoji": "\N{CAT}",
    "line separator": "a\u2028b",
    "line breaks": "a\r\nX: y",
    "control characters": "a\x00b\x7f\x85",
    "DEL": "a\x7fb",
    "quotes": 'a"b\\c',
    "long": "ß" * 150,
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start a fleet of which one server is draining, and a route for each name."""
    folder: pathlib.Path = tmp_path_factory.mktemp("fleet")
    with run_fleet(folder) as running:
        rows = [["look", "a.example", "/look/", "safe", 10, "shop"]]
        for number, name in enumerate(NAMES.values()):
            rows.append([name, "a.example", f"/{number}/", "unsafe", 10, "shop"])
        assert running.put({"columns": ROUTE_COLUMNS, "rows": rows}) == 200
        origin, host = running.instances
        assert origin.server is not None
        origin.server.state = "draining"
        wait_until(lambda: origin.server.beat() == 200, "one server is draining")
        last = f"/{len(NAMES) - 1}/"
        wait_until(
            lambda: origin.request(last, "POST", "ready").status != 404, "routes"
        )
        yield running


@pytest.mark.parametrize("number", range(len(NAMES)), ids=NAMES)
def test_requests_of_a_route_with_any_name_reach_other_machines(
    fleet: Fleet, number: int
) -> None:
    origin, host = fleet.instances
    answer = origin.request(f"/{number}/1", "POST", f"name-{number}")
    assert answer.status == 200
    assert host.server is not None
    assert f"name-{number}" in host.server.ran


@pytest.mark.parametrize("service", ["بکنگ", "Réservé 1", "\N{CAT}"])
def test_a_service_may_have_any_name(tmp_path: pathlib.Path, service: str) -> None:
    """Guards against daemons that end at their start beside a server of the service."""
    rows = [["look", "a.example", "/look/", "safe", 10, service]]
    fleet = Fleet(tmp_path, FleetShape(services=(service,)))
    try:
        fleet.start({"columns": ROUTE_COLUMNS, "rows": rows})
        callers = [
            caller.encode("latin-1").decode()
            for process in fleet.instances
            if process.server is not None
            for caller in process.server.callers
        ]
    finally:
        fleet.stop()
    assert set(callers) == {service}
