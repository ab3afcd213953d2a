"""The routing tables: routes and the pools that they refer to by name."""

from collections.abc import Collection
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

DEFAULT_MAX_ATTEMPTS = 3


class Split(NamedTuple):
    """A pool's weight in the distribution of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Maps requests to a pool by host, path prefix and method.

    A path that ends with a slash matches only paths that start with it. If there
    are splits, requests are distributed over their pools by weight and ``pool``
    is empty.
    """

    name: str
    host: str  # "*" matches every host
    path: str  # a prefix of whole segments
    methods: tuple[str, ...]  # empty matches every method
    pool: str
    repeatable: bool  # whether a request may be run more than once
    timeout_ms: int
    splits: tuple[Split, ...] = ()
    max_attempts: int = 0  # servers tried per request; 0 for the default
    priority: int = 0  # rank in a server's queue; 0 is the most urgent
    target_latency_ms: int = 0  # 0 if there is no target
    # Timeout and target as the operators sent them, if one is finer than 1 ms.
    sent_times_s: tuple[float, ...] = ()
    # Whether requests need no API key; None if the operators did not say.
    allow_anonymous: bool | None = None
    is_upload: bool = False  # requests carry large bodies; they are not repeatable


class Pool(NamedTuple):
    """Settings for the use of a service's backend servers."""

    name: str
    service: str
    # Least share of the service's servers that ejections leave in use, 0 to 1.
    floor: float
    queue_limit: int  # requests
    hedge: bool  # whether slow repeatable requests may go to a second server
    health_path: str = ""  # path of health checks
    max_connections: int = 0  # per server, from all callers; 0 if not limited
    protocol: str = ""
    tls: bool = False


class ClientLimits(NamedTuple):
    """Limits on the size of a caller's requests, and timeouts of its connection."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
    # Both timeouts as the operators sent them, if one is finer than 1 ms.
    sent_times_s: tuple[float, ...] = ()


class Organisation(NamedTuple):
    """An organisation that sends requests with its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None  # goes before a route's priority; 0 is the most urgent
    rate_per_s: float = 0.0  # requests per second over all daemons; 0 if not limited
    burst: float = 0.0  # requests in addition to the rate
    # Columns that the operators sent as 0 or empty instead of leaving them out.
    sent_empty: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Return a description without the keys, as it may end up in a log."""
        return f"Organisation(name={self.name!r}, api_keys=<{len(self.api_keys)}>)"


class Tables(NamedTuple):
    """One accepted version of the routes, the pools and the organisations.

    ``term`` and ``log_index`` are its position in the replicated log; a daemon
    never returns to an earlier position.
    """

    term: int
    log_index: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: int = 0  # version number given by the operators
    organisations: Collection[Organisation] = ()


class RouteRow(TypedDict):
    """A route in JSON."""

    name: str
    host: str
    path: str
    methods: list[str]
    pool: str
    repeatable: bool
    timeout_ms: int
    allow_anonymous: NotRequired[bool]


class PoolRow(TypedDict):
    """A pool in JSON."""

    name: str
    service: str
    floor: float
    queue_limit: int
    hedge: bool


class OrganisationRow(TypedDict):
    """An organisation in JSON."""

    name: str
    api_keys: list[str]
    priority: int | None
    rate_per_s: float
    burst: float


class TablesDocument(TypedDict):
    """The routes, the pools and the organisations in JSON."""

    routes: list[RouteRow]
    pools: list[PoolRow]
    organisations: NotRequired[list[OrganisationRow]]
