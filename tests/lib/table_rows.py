"""Build rows of the size that the fleet is designed for."""

from collections.abc import Iterator

from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route

POOLS = 580
DATA_CENTRES = 7


def make_route(number: int) -> Route:
    """Return the route of a number."""
    return Route(
        name=f"route-{number:05d}",
        host=f"service-{number % POOLS}.example",
        path=f"/v1/resource-{number}",
        methods=("GET", "HEAD") if number % 3 else ("POST",),
        pool=f"pool-{number % POOLS}",
        repeatable=bool(number % 3),
        timeout_ms=1000 + number % 7,
    )


def make_server(number: int) -> Server:
    """Return the server of a number."""
    data_centre = number % DATA_CENTRES
    return Server(
        server_id=f"server-{number:05d}",
        service=f"service-{number % POOLS}",
        host=f"10.{data_centre}.{number >> 8}.{number & 255}",
        port=8000 + number % 11,
        slots=3 + number % 4,
        data_centre=f"dc-{data_centre}",
        region=f"region-{data_centre % 2}",
        state=ServerState.READY,
        incarnation=1_700_000_000_000 + number,
    )


def make_routes(count: int) -> Iterator[Route]:
    """Yield the first routes."""
    return (make_route(number) for number in range(count))


def make_servers(count: int) -> Iterator[Server]:
    """Yield the first servers."""
    return (make_server(number) for number in range(count))
