"""Validate the tables and report every fault at once.

A row is one route, one pool or one organisation of a document.
"""

from collections.abc import Iterator
from typing import cast

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import OrganisationRow
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
from pimentobend_core._internal.utils.checks import OptionalCheck
from pimentobend_core._internal.utils.checks import SecretCheck
from pimentobend_core._internal.utils.checks import TextCheck
from pimentobend_core._internal.utils.checks import parse_document

MAX_ROUTES = 50_000
MAX_POOLS = 5_000
MAX_METHODS = 16
MAX_ORGANISATIONS = 100_000
MAX_API_KEYS = 64  # of an organisation
MAX_PRIORITY = 2**31 - 1
MAX_REQUESTS = 10**9  # per second, or in addition
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
        "allow_anonymous": BooleanCheck(),
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
# A misplaced key may stand anywhere in these rows, so no value of them is shown.
_ORGANISATIONS = SecretCheck(
    ListCheck(
        ObjectCheck(
            required={
                "name": TextCheck(
                    r"[!-~]([ -~]{0,126}[!-~])?", "a name of 1 to 128 ASCII characters"
                )
            },
            optional={
                "api_keys": ListCheck(
                    TextCheck(
                        r"[!-~]{1,256}",
                        "a key of 1 to 256 ASCII characters without spaces",
                    ),
                    MAX_API_KEYS,
                ),
                "priority": OptionalCheck(IntegerCheck(0, MAX_PRIORITY)),
                "rate_per_s": NumberCheck(0, MAX_REQUESTS),
                "burst": NumberCheck(0, MAX_REQUESTS),
            },
        ),
        MAX_ORGANISATIONS,
    )
)
_TABLES = ObjectCheck(
    required={
        "routes": ListCheck(_ROUTE, MAX_ROUTES),
        "pools": ListCheck(_POOL, MAX_POOLS),
    },
    optional={"organisations": _ORGANISATIONS},
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
    faults = (
        *_find_duplicates(tables),
        *_find_unknown_pools(tables),
        *_find_shared_keys(tables),
    )
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
            allow_anonymous=row.get("allow_anonymous"),
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


def read_organisations(document: TablesDocument) -> tuple[Organisation, ...]:
    """Return a checked document's organisations."""
    return tuple(
        Organisation(
            name=row["name"],
            api_keys=tuple(row["api_keys"]),
            priority=row["priority"],
            rate_per_s=row["rate_per_s"],
            burst=row["burst"],
        )
        for row in document.get("organisations", [])
    )


def _fill_defaults(document: TablesDocument) -> TablesDocument:
    tables = TablesDocument(
        routes=[_fill_route_defaults(row) for row in document["routes"]],
        pools=[_fill_pool_defaults(row) for row in document["pools"]],
    )
    if "organisations" in document:
        tables["organisations"] = [
            _fill_organisation_defaults(row) for row in document["organisations"]
        ]
    return tables


def _fill_route_defaults(row: RouteRow) -> RouteRow:
    filled = RouteRow(
        name=row["name"],
        host=row.get("host", "*"),
        path=row["path"],
        methods=sorted(set(row.get("methods", []))),
        pool=row["pool"],
        repeatable=row["repeatable"],
        timeout_ms=row.get("timeout_ms", DEFAULT_TIMEOUT_MS),
    )
    if "allow_anonymous" in row:
        filled["allow_anonymous"] = row["allow_anonymous"]
    return filled


def _fill_pool_defaults(row: PoolRow) -> PoolRow:
    return PoolRow(
        name=row["name"],
        service=row["service"],
        floor=float(row.get("floor", DEFAULT_FLOOR)),
        queue_limit=row.get("queue_limit", DEFAULT_QUEUE_REQUESTS),
        hedge=row.get("hedge", False),
    )


def _fill_organisation_defaults(row: OrganisationRow) -> OrganisationRow:
    return OrganisationRow(
        name=row["name"],
        api_keys=row.get("api_keys", []),
        priority=row.get("priority"),
        rate_per_s=float(row.get("rate_per_s", 0.0)),
        burst=float(row.get("burst", 0.0)),
    )


def _find_duplicates(tables: TablesDocument) -> Iterator[Fault]:
    names = [
        (f"routes[{i}].name", row["name"]) for i, row in enumerate(tables["routes"])
    ]
    yield from _find_duplicate_names(names)
    names = [(f"pools[{i}].name", row["name"]) for i, row in enumerate(tables["pools"])]
    yield from _find_duplicate_names(names)
    names = [
        (f"organisations[{i}].name", row["name"])
        for i, row in enumerate(tables.get("organisations", []))
    ]
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


def _find_shared_keys(tables: TablesDocument) -> Iterator[Fault]:
    holders: dict[str, str] = {}
    for i, row in enumerate(tables.get("organisations", [])):
        for key in row["api_keys"]:
            holder = holders.setdefault(key, row["name"])
            if holder != row["name"]:
                expected = f"an API key that {holder} does not have"
                yield Fault(f"organisations[{i}].api_keys", row["name"], expected)
