"""Validate the tables of routes and pools and report every fault at once.

A row is one route or one pool of a document.
"""

from collections.abc import Iterator
from typing import cast

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import PoolRow
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import RouteRow
from pimentobend_core._internal.models.tables import TablesDocument
from pimentobend_core._internal.utils.checks import BooleanCheck
from pimentobend_core._internal.utils.checks import Fault
from pimentobend_core._internal.utils.checks import IntegerCheck
from pimentobend_core._internal.utils.checks import ListCheck
from pimentobend_core._internal.utils.checks import NumberCheck
from pimentobend_core._internal.utils.checks import ObjectCheck
from pimentobend_core._internal.utils.checks import TextCheck
from pimentobend_core._internal.utils.checks import parse_document

MAX_ROUTES = 50_000
MAX_POOLS = 5_000
MAX_METHODS = 16
MAX_TIMEOUT_MS = 3_600_000
MAX_QUEUE_REQUESTS = 100_000
MAX_FLOOR = 1.0  # the floor is the share of a pool's servers that must stay in use

DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_FLOOR = 0.75
DEFAULT_QUEUE_REQUESTS = 256

NAME = TextCheck(
    r"[a-z0-9][a-z0-9._-]{0,62}", "a name of a-z, 0-9, dot, dash or underscore"
)
_ROUTE = ObjectCheck(
    required={
        "name": NAME,
        "path": TextCheck(r"/[!-~]{0,1023}", "a path that starts with /"),
        "pool": NAME,
        "repeatable": BooleanCheck(),
    },
    optional={
        "host": TextCheck(r"\*|[a-z0-9.-]{1,253}", "a host in lower case, or *"),
        "methods": ListCheck(
            TextCheck(r"[A-Z]{1,16}", "a method in upper case"), MAX_METHODS
        ),
        "timeout_ms": IntegerCheck(1, MAX_TIMEOUT_MS),
    },
)
_POOL = ObjectCheck(
    required={"name": NAME, "service": NAME},
    optional={
        "floor": NumberCheck(0, MAX_FLOOR),
        "queue_limit": IntegerCheck(0, MAX_QUEUE_REQUESTS),
        "hedge": BooleanCheck(),
    },
)
_TABLES = ObjectCheck(
    required={
        "routes": ListCheck(_ROUTE, MAX_ROUTES),
        "pools": ListCheck(_POOL, MAX_POOLS),
    }
)


def check_tables(text: str) -> Result[TablesDocument, tuple[Fault, ...]]:
    """Return the document with defaults filled in, or all its faults."""
    document, faults = parse_document(text)
    if document is None:
        return Failure(faults)
    faults += tuple(_TABLES.find("", document))
    if faults:
        return Failure(faults)
    tables = _fill_defaults(cast(TablesDocument, document))
    faults = (*_find_duplicates(tables), *_find_unknown_pools(tables))
    return Failure(faults) if faults else Success(tables)


def read_routes(document: TablesDocument) -> tuple[Route, ...]:
    """Return a checked document's routes."""
    return tuple(
        Route(
            name=row["name"],
            host=row["host"],
            path=row["path"],
            methods=tuple(row["methods"]),
            pool=row["pool"],
            repeatable=row["repeatable"],
            timeout_ms=row["timeout_ms"],
        )
        for row in document["routes"]
    )


def read_pools(document: TablesDocument) -> tuple[Pool, ...]:
    """Return a checked document's pools."""
    return tuple(
        Pool(
            name=row["name"],
            service=row["service"],
            floor=row["floor"],
            queue_limit=row["queue_limit"],
            hedge=row["hedge"],
        )
        for row in document["pools"]
    )


def _fill_defaults(document: TablesDocument) -> TablesDocument:
    return TablesDocument(
        routes=[_fill_route_defaults(row) for row in document["routes"]],
        pools=[_fill_pool_defaults(row) for row in document["pools"]],
    )


def _fill_route_defaults(row: RouteRow) -> RouteRow:
    return RouteRow(
        name=row["name"],
        host=row.get("host", "*"),
        path=row["path"],
        methods=sorted(set(row.get("methods", []))),
        pool=row["pool"],
        repeatable=row["repeatable"],
        timeout_ms=row.get("timeout_ms", DEFAULT_TIMEOUT_MS),
    )


def _fill_pool_defaults(row: PoolRow) -> PoolRow:
    return PoolRow(
        name=row["name"],
        service=row["service"],
        floor=float(row.get("floor", DEFAULT_FLOOR)),
        queue_limit=row.get("queue_limit", DEFAULT_QUEUE_REQUESTS),
        hedge=row.get("hedge", False),
    )


def _find_duplicates(tables: TablesDocument) -> Iterator[Fault]:
    names = [
        (f"routes[{i}].name", row["name"]) for i, row in enumerate(tables["routes"])
    ]
    yield from _find_duplicate_names(names)
    names = [(f"pools[{i}].name", row["name"]) for i, row in enumerate(tables["pools"])]
    yield from _find_duplicate_names(names)
    route_names: dict[tuple[str, str, str], str] = {}
    for i, row in enumerate(tables["routes"]):
        for method in row["methods"] or [""]:
            key = (row["host"], row["path"], method)
            if key in route_names:
                expected = (
                    f"a host, path and method that {route_names[key]} does not match"
                )
                yield Fault(f"routes[{i}]", row["name"], expected)
            route_names[key] = row["name"]


def _find_duplicate_names(names: list[tuple[str, str]]) -> Iterator[Fault]:
    seen: set[str] = set()
    for place, name in names:
        if name in seen:
            yield Fault(place, name, "a name that is unique in its table")
        seen.add(name)


def _find_unknown_pools(tables: TablesDocument) -> Iterator[Fault]:
    pools = {row["name"] for row in tables["pools"]}
    for i, row in enumerate(tables["routes"]):
        if row["pool"] not in pools:
            yield Fault(f"routes[{i}].pool", row["pool"], "the name of a pool")
