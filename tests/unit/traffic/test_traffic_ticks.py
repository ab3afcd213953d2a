"""Test that only pools with waiting requests receive ticks."""

from collections.abc import Mapping

import eventlet
import pytest
from null_observer import NullObserver

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.traffic import TICK_S
from pimentobend_adapters._internal.traffic import TrafficTasks
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput
from pimentobend_core._internal.traffic.messages import TrafficTick

POOLS = tuple(Pool(name, name, 0.5, 10, False) for name in ("a", "b", "c"))
TICKS_WAITED = 4


class _TickCounter(StatefulFilter[TrafficInput, TrafficOutput]):
    """Counts ticks and never grants a server."""

    def __init__(self) -> None:
        self.ticks = 0

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        self.ticks += isinstance(message, TrafficTick)
        return ()

    def dump(self) -> Mapping[str, object]:
        return {}


@pytest.mark.parametrize(
    "waiting", [(), ("a",), ("a", "c")], ids=["none", "one", "two"]
)
def test_ticks_follow_waiting_requests(waiting: tuple[str, ...]) -> None:
    counters: dict[str, _TickCounter] = {}

    def create(pool: Pool) -> _TickCounter:
        return counters.setdefault(pool.name, _TickCounter())

    clock = HubClock()
    tasks = TrafficTasks(create, clock, NullObserver())
    tasks.configure(POOLS)
    deadline = clock.now() + 60.0
    waiters = [
        eventlet.spawn(tasks.acquire, name, _make_acquire(ticket, deadline))
        for ticket, name in enumerate(waiting)
    ]
    while waiting and min(counters[name].ticks for name in waiting) < TICKS_WAITED:
        eventlet.sleep(TICK_S)
    eventlet.sleep(TICKS_WAITED * TICK_S)
    ticked = {name for name, counter in counters.items() if counter.ticks}
    for waiter in waiters:
        waiter.kill()
    assert ticked == set(waiting)


def _make_acquire(ticket: int, deadline: float) -> Acquire:
    return Acquire(ticket, "route", "organisation", deadline, True, frozenset(), False)
