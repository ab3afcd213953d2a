"""Find the route of a request."""

import random
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.request.stages import Routed

MS_PER_S = 1000
RETRY_AFTER_S = 0.5  # a starting daemon receives its tables within a second
# How long a request waits for the first tables of a daemon. In a new fleet, a leader is
# elected first and then sends the tables to each daemon.
MAX_TABLES_WAIT_S = 3.0
MAX_TABLES_WAIT_SHARE = 0.25  # and at most this share of the time to its deadline
NO_TABLES = Refusal(
    status=503,
    ran=Ran.NOT_RUN,
    reason=RefusalReason.NO_TABLES,
    detail="this daemon has no tables yet",
    retry_after_s=RETRY_AFTER_S,
)


class RouteFilter(Filter[Received, Routed]):
    """Finds the route and the pool of a request and limits its deadline.

    The deadline becomes the earlier of the caller's and the route's.
    """

    def __init__(
        self, tables: TablesPort, draw: Callable[[], float] = random.random
    ) -> None:
        self._tables = tables
        self._draw = draw

    def apply(self, value: Received) -> Result[Routed, Refusal]:
        """Return the routed request, or a refusal if no tables or no route apply."""
        if not self._tables.current().log_index:
            left_s = value.head.deadline - value.head.received_at
            if not self._tables.await_first(
                min(MAX_TABLES_WAIT_S, MAX_TABLES_WAIT_SHARE * left_s)
            ):
                return Failure(NO_TABLES)
        route = self._tables.match(value.head)
        if route is None:
            return Failure(_no_route(value))
        latest_deadline = value.head.received_at + route.timeout_ms / MS_PER_S
        deadline = min(value.head.deadline, latest_deadline)
        head = value.head._replace(deadline=deadline)
        pool = choose_pool(route, self._draw())
        routed = Routed(head, value.body, route, pool, value.on_caller_left)
        return Success(routed._replace(sender=value.sender))


def choose_pool(route: Route, draw: float) -> str:
    """Return the pool that a random number in [0, 1) selects by the weights."""
    total = sum(split.weight for split in route.splits)
    if total <= 0:
        return route.pool
    left = draw * total
    for split in route.splits:
        left -= split.weight
        if left < 0:
            return split.pool
    return next(each.pool for each in reversed(route.splits) if each.weight > 0)


def _no_route(value: Received) -> Refusal:
    return Refusal(
        status=404,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.NO_ROUTE,
        detail=f"no route for {value.head.method} {value.head.host}{value.head.path}",
    )
