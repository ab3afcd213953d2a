"""Find the route of a request."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.request.stages import Routed

MS_PER_S = 1000


class RouteFilter(Filter[Received, Routed]):
    """Give a request its route and the earlier of the two deadlines."""

    def __init__(self, tables: TablesPort) -> None:
        self._tables = tables

    def apply(self, value: Received) -> Result[Routed, Refusal]:
        """Return the routed request, or a refusal when no route matches."""
        route = self._tables.match(value.head)
        if route is None:
            return Failure(_no_route(value))
        latest = value.head.received_at + route.timeout_ms / MS_PER_S
        deadline = min(value.head.deadline, latest)
        head = value.head._replace(deadline=deadline)
        return Success(Routed(head, value.body, route))


def _no_route(value: Received) -> Refusal:
    return Refusal(
        status=404,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.NO_ROUTE,
        detail=f"no route for {value.head.method} {value.head.host}{value.head.path}",
    )
