"""Test how the deliveries of a stopping daemon end."""

from collections.abc import Callable
from typing import Any

import eventlet
import pytest
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.bid_collector import BidCollector
from pimentobend_adapters._internal.forwarding.bid_collector import Question
from pimentobend_adapters._internal.forwarding.delivery import DeliveryFilter
from pimentobend_adapters._internal.forwarding.delivery import DeliveryPorts
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Routed
from pimentobend_core._internal.traffic.shared_budget import OriginBudget

WAIT_S = 5.0


class NoServers(BidCollector):
    """Knows no server of any service."""

    def __init__(self) -> None:
        """Ask nobody."""

    def ask(self, question: Question, distance: Distance) -> tuple[Candidate, ...]:
        return ()

    def find_recent(
        self, question: Question, distance: Distance
    ) -> tuple[Candidate, ...]:
        return ()


def create_filter() -> DeliveryFilter:
    unused: Any = None
    return DeliveryFilter(
        DeliveryPorts(
            1,
            NoServers(),
            unused,
            unused,
            OriginBudget(),
            HubClock(),
            Discard(),
            lambda: "1.0",
            iter(range(9)),
        )
    )


def request() -> Routed:
    now = HubClock().now()
    head = RequestHead("1", "POST", "a", "/", "", (), "", None, now, now + 60.0)
    route = Route("r", "*", "/", (), "p", False, 60_000)
    return Routed(head, BufferedBody(b""), route, "p")


STEPS: list[tuple[str, Callable[[DeliveryFilter], None], bool]] = [
    ("a request that waited", DeliveryFilter.cancel_unsent, True),
    ("a request that came later", DeliveryFilter.cancel_unsent, False),
    ("a request that waited at the end", DeliveryFilter.give_up, True),
    ("a request that came at the end", DeliveryFilter.give_up, False),
]


@pytest.mark.parametrize(
    ("tell", "came_before"), [s[1:] for s in STEPS], ids=[s[0] for s in STEPS]
)
def test_a_stopping_daemon_refuses_what_reaches_no_server(
    tell: Callable[[DeliveryFilter], None], came_before: bool
) -> None:
    deliveries = create_filter()
    if not came_before:
        tell(deliveries)
    delivery = eventlet.spawn(deliveries.apply, request())
    eventlet.sleep(0)
    if came_before:
        tell(deliveries)
    with eventlet.Timeout(WAIT_S):
        result: Result[Finished, Refusal] = delivery.wait()
    assert (result.failure().status, result.failure().ran) == (503, Ran.NOT_RUN)
