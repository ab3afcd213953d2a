"""Factories of the values that the traffic tests use."""

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.pool import PoolTraffic

SEED = 7


def create_pool(queue_limit: int = 8) -> Pool:
    return Pool("bookings", "bookings", 0.5, queue_limit, False)


def create_server(
    number: int,
    slots: int = 3,
    state: ServerState = ServerState.READY,
    incarnation: int = 1,
    place: str = "lahore-a/punjab",
) -> Server:
    data_centre, region = place.split("/")
    return Server(
        server_id=f"s{number}",
        service="bookings",
        host="127.0.0.1",
        port=9000 + number,
        slots=slots,
        data_centre=data_centre,
        region=region,
        state=state,
        incarnation=incarnation,
    )


def create_traffic(*servers: Server, queue_limit: int = 8) -> PoolTraffic:
    traffic = PoolTraffic(create_pool(queue_limit), "lahore-a", "punjab", SEED)
    traffic.handle(ServersChanged(servers), 0.0)
    return traffic


def create_acquire(
    ticket: int,
    deadline: float = 10.0,
    route: str = "book",
    organisation: str = "museum",
    excluded: frozenset[str] = frozenset(),
    is_hedge: bool = False,
    repeatable: bool = True,
) -> Acquire:
    return Acquire(
        ticket=ticket,
        route=route,
        organisation=organisation,
        deadline=deadline,
        repeatable=repeatable,
        excluded=excluded,
        is_retry=bool(excluded),
        is_hedge=is_hedge,
    )


def create_ended(
    ticket: int,
    server_id: str,
    kind: AttemptKind = AttemptKind.ANSWERED,
    in_use: int | None = None,
    slots: int = 3,
) -> AttemptEnded:
    return AttemptEnded(
        ticket=ticket,
        pool="bookings",
        route="book",
        server_id=server_id,
        kind=kind,
        status=200 if kind is AttemptKind.ANSWERED else 0,
        latency_s=0.01,
        was_reused=True,
        load=None if in_use is None else LoadReport(in_use, slots),
    )


def create_route(
    name: str, host: str = "*", path: str = "/", methods: tuple[str, ...] = ()
) -> Route:
    return Route(name, host, path, methods, "bookings", True, 1000)
