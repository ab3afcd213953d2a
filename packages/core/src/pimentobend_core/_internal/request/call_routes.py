"""Tell the routes of servers' calls from those of clients' requests.

Clients may run on the same machine as a backend server, so that where a request comes
from does not tell which of them sent it. A call ends by the deadline of its run, so a
request that ends later, or carries an API key, is certainly a client's. A route that
has had such a request is one of clients.
"""

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Routed

# Requests of a route without a certain client among them, from which on it is taken
# for one of calls.
MIN_REQUESTS = 5
MAX_ROUTES = 16_384


class CallRoutes:
    """Counts the requests of each route until one is certainly a client's."""

    def __init__(self) -> None:
        self._counts: dict[str, int | None] = {}  # None for routes of clients

    def note(self, route: str, *, is_client: bool) -> bool:
        """Record a request and return whether its route is one of calls."""
        if route not in self._counts and len(self._counts) >= MAX_ROUTES:
            del self._counts[next(iter(self._counts))]
        count = self._counts.get(route, 0)
        if is_client or count is None:
            self._counts[route] = None
            return False
        self._counts[route] = count + 1
        return count + 1 >= MIN_REQUESTS


class CallRouteFilter(Filter[Routed, Routed]):
    """Takes requests on routes of clients for no calls."""

    def __init__(self) -> None:
        self._routes = CallRoutes()

    def apply(self, value: Routed) -> Result[Routed, Refusal]:
        """Return the request, whose sender makes a call only on a route of calls."""
        sender = value.sender
        is_client = sender.is_client or bool(value.head.api_key_digest)
        is_call_route = self._routes.note(value.route.name, is_client=is_client)
        if is_call_route or not sender.is_call:
            return Success(value)
        sender = sender._replace(
            is_call=False, demand=1.0, calling_routes=(), calling_runs=()
        )
        return Success(value._replace(sender=sender))
