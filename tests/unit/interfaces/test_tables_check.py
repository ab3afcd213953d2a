"""Check that each fault of the tables is reported with its place."""

import json
from typing import Any

import pytest
from returns.result import Success

from pimentobend_core._internal.configuration.checks import check_tables

ROUTE = {"name": "r", "path": "/r", "pool": "p", "repeatable": True}
POOL = {"name": "p", "service": "s"}


def _tables(route: Any = None, pool: Any = None, **more: Any) -> str:
    routes = [{**ROUTE, **(route or {})}]
    pools = [{**POOL, **(pool or {})}]
    return json.dumps({"routes": routes, "pools": pools, **more})


FAULTS = [
    ("", ["line 1"]),
    ("[]", ["document"]),
    ("{}", ["routes", "pools"]),
    ('{"routes": [], "routes": [], "pools": []}', ["routes"]),
    (_tables(extra=1), ["extra"]),
    (_tables({"color": 1}), ["routes[0].color"]),
    (_tables({"name": "Upper"}), ["routes[0].name"]),
    (_tables({"path": "r"}), ["routes[0].path"]),
    (_tables({"path": "/a b"}), ["routes[0].path"]),
    (_tables({"methods": ["get"]}), ["routes[0].methods[0]"]),
    (_tables({"methods": "GET"}), ["routes[0].methods"]),
    (_tables({"repeatable": "yes"}), ["routes[0].repeatable"]),
    (_tables({"timeout_ms": 0}), ["routes[0].timeout_ms"]),
    (_tables({"timeout_ms": True}), ["routes[0].timeout_ms"]),
    (_tables({"pool": "q"}), ["routes[0].pool"]),
    (_tables({"host": "UPPER"}), ["routes[0].host"]),
    (_tables(pool={"floor": 1.1}), ["pools[0].floor"]),
    (_tables(pool={"floor": -0.1}), ["pools[0].floor"]),
    (_tables(pool={"floor": float("nan")}), ["pools[0].floor"]),
    (_tables(pool={"queue_limit": -1}), ["pools[0].queue_limit"]),
    (
        _tables({"name": "X", "path": ""}, {"floor": 2}),
        ["routes[0].name", "routes[0].path", "pools[0].floor"],
    ),
    (json.dumps({"routes": [ROUTE, ROUTE], "pools": [POOL]}), ["routes[1].name"]),
    (json.dumps({"routes": [ROUTE], "pools": [POOL, POOL]}), ["pools[1].name"]),
    (
        json.dumps({"routes": [ROUTE, {**ROUTE, "name": "t"}], "pools": [POOL]}),
        ["routes[1]"],
    ),
]


@pytest.mark.parametrize(("text", "places"), FAULTS, ids=lambda value: str(value)[:40])
def test_each_fault_is_reported(text: str, places: list[str]) -> None:
    faults = check_tables(text).failure()
    found = [fault.place for fault in faults]
    assert [place for place in places if place not in found] == []


@pytest.mark.parametrize("floor", [0, 0.5, 1])
def test_defaults_are_filled(floor: float) -> None:
    result = check_tables(_tables(pool={"floor": floor}))
    assert isinstance(result, Success)
    document = result.unwrap()
    assert document["routes"][0]["host"] == "*"
    assert document["pools"][0]["floor"] == floor
