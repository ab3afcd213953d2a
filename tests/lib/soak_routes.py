"""Routes of the soak test's long requests."""

from typing import Any
from typing import NamedTuple

from platform_fleet import ROUTE_COLUMNS

DEADLINE_S = 10.0  # of the requests, and the timeout of their routes


class RouteKind(NamedTuple):
    """Kind of requests that each service has a route for."""

    name: str
    route: str  # the start of the names of its routes, which may be any text
    is_safe: bool
    weight: int  # its share of the requests
    holds_s: tuple[float, ...]  # times that the server takes

    def path(self, service: str) -> str:
        """Return the prefix of the paths of a service's route."""
        return f"/{self.name}/" if service == "shop" else f"/{self.name}-{service}/"


ROUTE_KINDS = (
    RouteKind("look", "look", True, 3, (0.0, 0.0, 0.02, 0.02, 0.3, 1.5)),
    RouteKind("book", "réservé\n", False, 3, (0.0, 0.02, 0.1, 0.1, 0.3, 3.0)),
    RouteKind("order", "آرڈر", False, 4, (1.0, 2.0, 3.0, 4.0, 5.0, 6.5, 8.0)),
)
ROUTE_WEIGHTS = [kind.weight for kind in ROUTE_KINDS]


def make_routes(services: tuple[str, ...], label: int) -> dict[str, Any]:
    """Return the routes of all services, and one more in every other version."""
    rows: list[list[Any]] = [
        [
            f"{kind.route}-{service}",
            "a.example",
            kind.path(service),
            "safe" if kind.is_safe else "unsafe",
            DEADLINE_S,
            service,
        ]
        for service in services
        for kind in ROUTE_KINDS
    ]
    if label % 2:
        rows.append(["extra", "a.example", "/extra/", "safe", DEADLINE_S, services[0]])
    return {"columns": ROUTE_COLUMNS, "rows": rows}
