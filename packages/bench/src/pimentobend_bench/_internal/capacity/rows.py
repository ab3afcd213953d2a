"""Generated routes, pools, servers and organisations of realistic size."""

import hashlib
from collections.abc import Iterator

from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

_POOLS = 580
_DATA_CENTRES = 7
_PORTS = 11
_FIRST_PORT = 8_000
_FIRST_INCARNATION = 1_700_000_000_000


def make_route(number: int) -> Route:
    """Return route ``number``."""
    return Route(
        name=f"route-{number:05d}",
        host=f"service-{number % _POOLS}.example",
        path=f"/v1/{_make_name('path', number)}",
        methods=("GET", "HEAD") if number % 3 else ("POST",),
        pool=f"pool-{number % _POOLS}",
        repeatable=bool(number % 3),
        timeout_ms=1_000 + number % 7,
    )


def make_pool(number: int) -> Pool:
    """Return pool ``number``."""
    return Pool(
        name=f"pool-{number}",
        service=f"service-{number}",
        floor=0.5,
        queue_limit=100 + number % 7,
        hedge=False,
    )


def make_server(number: int) -> Server:
    """Return server ``number``."""
    data_centre = number % _DATA_CENTRES
    return Server(
        server_id=f"server-{number:05d}",
        service=f"service-{number % _POOLS}",
        host=f"10.{data_centre}.{number >> 8}.{number & 255}",
        port=_FIRST_PORT + number % _PORTS,
        slots=3 + number % 4,
        data_centre=f"dc-{data_centre}",
        region=f"region-{data_centre % 2}",
        state=ServerState.READY,
        incarnation=_FIRST_INCARNATION + number,
    )


def make_organisation_row(number: int) -> Organisation:
    """Return organisation ``number``, which has one or two keys of 36 characters."""
    keys = [
        "".join(_make_name(f"{kind}-{part}", number) for part in range(3))
        for kind in ("key", "second")
    ]
    return Organisation(
        name=make_organisation(number),
        api_keys=tuple(keys[: 1 + number % 2]),
        rate_per_s=float(number % 50),
        burst=float(number % 7),
    )


def make_routes(count: int) -> Iterator[Route]:
    """Yield the first ``count`` routes."""
    return (make_route(number) for number in range(count))


def make_pools(count: int = _POOLS) -> Iterator[Pool]:
    """Yield the first ``count`` pools."""
    return (make_pool(number) for number in range(count))


def make_servers(count: int) -> Iterator[Server]:
    """Yield the first ``count`` servers."""
    return (make_server(number) for number in range(count))


def make_organisation(number: int) -> str:
    """Return the name of organisation ``number``."""
    return f"organisation-{_make_name('organisation', number)}"


def _make_name(kind: str, number: int) -> str:
    """Return hexadecimal digits that compress no better than real names do."""
    return hashlib.blake2b(f"{kind}/{number}".encode(), digest_size=6).hexdigest()
