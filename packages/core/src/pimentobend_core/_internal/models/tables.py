"""Define the tables of routes and pools, joined by names."""

from typing import NamedTuple
from typing import TypedDict


class Route(NamedTuple):
    """Map requests to a pool by host, path prefix and method."""

    name: str
    host: str  # "*" matches every host
    path: str  # a prefix that ends at a segment
    methods: tuple[str, ...]  # empty matches every method
    pool: str
    repeatable: bool  # may the work be run more than once
    timeout_ms: int


class Pool(NamedTuple):
    """Describe how a service's backend servers are used."""

    name: str
    service: str
    floor: float  # share of the service's servers that stays in use, 0 to 1
    queue_limit: int  # requests
    hedge: bool


class Tables(NamedTuple):
    """Hold one accepted version of both tables.

    ``term`` and ``log_index`` place it in the replicated log; a daemon never
    goes back in them.
    """

    term: int
    log_index: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]


class RouteRow(TypedDict):
    """Spell a route in JSON."""

    name: str
    host: str
    path: str
    methods: list[str]
    pool: str
    repeatable: bool
    timeout_ms: int


class PoolRow(TypedDict):
    """Spell a pool in JSON."""

    name: str
    service: str
    floor: float
    queue_limit: int
    hedge: bool


class TablesDocument(TypedDict):
    """Spell both tables in JSON."""

    routes: list[RouteRow]
    pools: list[PoolRow]
