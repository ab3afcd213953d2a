"""Test that all table implementations behave alike."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pytest

from pimentobend_bench._internal.capacity.rows import make_route
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_bench._internal.capacity.rows import make_server
from pimentobend_bench._internal.capacity.rows import make_servers
from pimentobend_core._internal.compact.routes import CompactRoutes
from pimentobend_core._internal.compact.rows import DictRows
from pimentobend_core._internal.compact.rows import RowError
from pimentobend_core._internal.compact.rows import Rows
from pimentobend_core._internal.compact.servers import CompactServers

MB = 1 << 20


class Case(NamedTuple):
    create: Callable[[], Rows[Any]]
    make: Callable[[int], Any]
    key: str  # name of the key field


CASES = {
    "routes-dict": Case(lambda: DictRows(lambda r: r.name), make_route, "name"),
    "routes-compact": Case(CompactRoutes, make_route, "name"),
    "servers-dict": Case(
        lambda: DictRows(lambda s: s.server_id), make_server, "server_id"
    ),
    "servers-compact": Case(CompactServers, make_server, "server_id"),
}
every_table = pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())


def _key(case: Case, row: Any) -> str:
    return str(getattr(row, case.key))


@every_table
@pytest.mark.parametrize("count", [0, 1, 6, 7, 100, 3000])
def test_returns_the_rows_that_were_put(case: Case, count: int) -> None:
    table = case.create()
    rows = [case.make(number) for number in range(count)]
    for row in rows:
        table.put(row)
    assert len(table) == count
    assert [table.get(_key(case, row)) for row in rows] == rows
    assert sorted(table.rows()) == sorted(rows)
    assert table.get("absent") is None
    assert "absent" not in table


@every_table
def test_put_replaces_the_row_of_its_key(case: Case) -> None:
    table = case.create()
    table.put(case.make(1))
    changed = case.make(2)._replace(**{case.key: _key(case, case.make(1))})
    table.put(changed)
    assert list(table.rows()) == [changed]


@every_table
def test_remove_returns_whether_there_was_a_row(case: Case) -> None:
    table = case.create()
    table.put(case.make(1))
    key = _key(case, case.make(1))
    assert (table.remove(key), table.remove(key), len(table)) == (True, False, 0)


@every_table
def test_churn_does_not_grow_the_table(case: Case) -> None:
    table = case.create()
    for number in range(20_000):
        table.put(case.make(number))
        if number >= 50:
            assert table.remove(_key(case, case.make(number - 50)))
    assert sorted(table.rows()) == [case.make(n) for n in range(19_950, 20_000)]
    assert table.footprint_bytes < 64 * 1024


@every_table
@pytest.mark.parametrize("text", ["", "ä€\U0001f600", "\ud800", "\0", "x" * 1000])
def test_keeps_any_text(case: Case, text: str) -> None:
    table = case.create()
    row = case.make(1)._replace(**{case.key: text, "host": text})
    table.put(row)
    assert table.get(text) == row


BAD_ROWS = {
    "timeout-negative": (CompactRoutes, make_route(1)._replace(timeout_ms=-1)),
    "timeout-large": (CompactRoutes, make_route(1)._replace(timeout_ms=1 << 32)),
    "route-name-long": (CompactRoutes, make_route(1)._replace(name="x" * 65_536)),
    "port-large": (CompactServers, make_server(1)._replace(port=65_536)),
    "slots-negative": (CompactServers, make_server(1)._replace(slots=-1)),
    "incarnation-large": (CompactServers, make_server(1)._replace(incarnation=1 << 64)),
}


@pytest.mark.parametrize(("create", "row"), BAD_ROWS.values(), ids=BAD_ROWS.keys())
def test_refused_row_leaves_the_table_as_it_was(
    create: Callable[[], Rows[Any]], row: Any
) -> None:
    table = create()
    before = table.footprint_bytes
    with pytest.raises(RowError):
        table.put(row)
    assert (len(table), table.footprint_bytes) == (0, before)


@pytest.mark.parametrize(
    ("create", "rows", "limit_bytes"),
    [
        (CompactRoutes, make_routes(9_000), 1 * MB),
        (CompactServers, make_servers(20_000), 2 * MB),
    ],
    ids=["routes", "servers"],
)
def test_target_size_fits(
    create: Callable[[], Rows[Any]], rows: Any, limit_bytes: int
) -> None:
    table = create()
    for row in rows:
        table.put(row)
    assert table.footprint_bytes <= limit_bytes
