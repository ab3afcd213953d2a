"""Test driver for the attempts of one request."""

from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery import Delivery
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.request.dispatch import RetryPolicy

PEER = PeerRow("10.0.0.1:7", RowVersion(1, 0), 1, "a", "r", False, 8, False, ())
DEADLINE = 10.0
TARGET_MS = 2000


class FakeRetryPolicy(RetryPolicy):
    """Allows the given number of retries and hedges."""

    def __init__(self, repeats: int) -> None:
        self.repeats = repeats

    def may_retry(self, pool: str, now: float) -> bool:
        self.repeats -= 1
        return self.repeats >= 0

    def succeeded(self, pool: str, now: float) -> None:
        pass


def candidate(
    name: str,
    risk: float = 0.0,
    distance: Distance = Distance.DATA_CENTRE,
    *,
    takes_repeats: bool = True,
    takes_copies: bool = True,
    wants_trial: bool = False,
    free_slots: int = 3,
) -> Candidate:
    wait_s = 0.0 if free_slots else 0.1
    bid = Bid(
        name,
        risk,
        free_slots,
        wait_s,
        0.2,
        wants_trial,
        takes_repeats,
        takes_copies=takes_copies,
    )
    return Candidate(PEER, bid, distance)


class Case(NamedTuple):
    """Properties of the request that a driver runs."""

    is_repeatable: bool = True
    max_attempts: int = 2
    repeats: int = 10
    can_replay: bool = True


class Driver:
    """Passes messages to a delivery and records its outputs."""

    def __init__(self, case: Case) -> None:
        route = Route(
            "r",
            "*",
            "/",
            (),
            "p",
            case.is_repeatable,
            10_000,
            max_attempts=case.max_attempts,
            target_latency_ms=TARGET_MS,
        )
        self.now = 0.0
        self.wake_at = 0.0
        self.delivery = Delivery(
            "id", route, "p", DEADLINE, case.can_replay, FakeRetryPolicy(case.repeats)
        )
        self.outputs: list[DeliveryOutput] = []
        self.held: list[Held] = []
        self._keep(self.delivery.begin(0.0))

    def give(self, message: DeliveryInput) -> list[DeliveryOutput]:
        before = len(self.outputs)
        self._keep(self.delivery.handle(message, self.now))
        return self.outputs[before:]

    def offer(self, *candidates: Candidate) -> list[DeliveryOutput]:
        """Offer the same servers at each distance that the delivery asks for."""
        outputs: list[DeliveryOutput] = [self.outputs[-1]]
        while outputs and isinstance(outputs[-1], AskServers):
            outputs = self.give(Offers(candidates, outputs[-1].distance))
        return outputs

    def end(
        self, number: int, kind: AttemptKind, status: int = 0
    ) -> list[DeliveryOutput]:
        return self.give(AttemptDone(number, kind, status))

    def wait(self) -> list[DeliveryOutput]:
        self.now = self.wake_at
        return self.give(TimerDue())

    def _keep(self, outputs: tuple[DeliveryOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, WakeAt):
                self.wake_at = output.due
            elif isinstance(output, Held):
                self.held.append(output)
            else:
                self.outputs.append(output)


SAFE = Case()
UNSAFE = Case(is_repeatable=False)
