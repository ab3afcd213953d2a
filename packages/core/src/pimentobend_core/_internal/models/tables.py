"""Define the tables of routes and pools, joined by names."""

from typing import NamedTuple
from typing import TypedDict

DEFAULT_MAX_ATTEMPTS = 3


class Split(NamedTuple):
    """Give a pool its share of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Map requests to a pool by host, path prefix and method.

    A path that ends with a slash matches only paths that go on after it. With
    splits, the pools share the requests by weight and ``pool`` is empty.
    """

    name: str
    host: str  # "*" matches every host
    path: str  # a prefix that ends at a segment
    methods: tuple[str, ...]  # empty matches every method
    pool: str
    repeatable: bool  # may the work be run more than once
    timeout_ms: int
    splits: tuple[Split, ...] = ()
    max_attempts: int = 0  # servers that one request may reach; 0 for the default
    priority: int = 0  # 0 is the most urgent
    target_latency_ms: int = 0  # 0 where none is stated


class Pool(NamedTuple):
    """Describe how a service's backend servers are used."""

    name: str
    service: str
    floor: float  # share of the service's servers that stays in use, 0 to 1
    queue_limit: int  # requests
    hedge: bool
    health_path: str = ""
    max_connections: int = 0  # of a server, from all callers; 0 where none is stated
    protocol: str = ""
    tls: bool = False


class ClientLimits(NamedTuple):
    """Bound what a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Tables(NamedTuple):
    """Hold one accepted version of both tables.

    ``term`` and ``log_index`` place it in the replicated log; a daemon never
    goes back in them.
    """

    term: int
    log_index: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: int = 0  # the operators' own number of the version


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
