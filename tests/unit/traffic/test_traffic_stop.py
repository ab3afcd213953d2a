"""Check which requests of the own interface get no server while the process stops.

Guards against runs that begin late in a stop and are given up with an unknown outcome.
"""

from collections.abc import Mapping

import eventlet
import pytest
from null_observer import NullObserver
from returns.result import Failure

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.traffic import TrafficTasks
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput

POOL = Pool("a", "a", 0.5, 10, False)
ENDS_IN_S = 30.0


class _FullPool(StatefulFilter[TrafficInput, TrafficOutput]):
    """Keeps all requests waiting."""

    def __init__(self) -> None:
        self.abandoned: list[int] = []

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        if isinstance(message, Abandon):
            self.abandoned.append(message.ticket)
        return ()

    def dump(self) -> Mapping[str, object]:
        return {}


@pytest.mark.parametrize("waits", [True, False], ids=["waits", "comes later"])
@pytest.mark.parametrize(
    ("deadline_s", "is_refused"),
    [(ENDS_IN_S - 1.0, False), (ENDS_IN_S + 1.0, True)],
    ids=["ends before the process", "may end after it"],
)
def test_what_may_outlast_the_process_gets_no_server(
    deadline_s: float, is_refused: bool, waits: bool
) -> None:
    clock = HubClock()
    owner = _FullPool()
    tasks = TrafficTasks(lambda _: owner, clock, NullObserver())
    tasks.configure((POOL,))
    deadline = clock.now() + deadline_s
    acquire = Acquire(7, "r", "o", deadline, False, frozenset(), False)
    if not waits:
        tasks.refuse_later_than(clock.now() + ENDS_IN_S)
    waiter = eventlet.spawn(tasks.acquire, "a", acquire)
    eventlet.sleep(0)
    if waits:
        tasks.refuse_later_than(clock.now() + ENDS_IN_S)
    eventlet.sleep(0.01)
    assert waiter.dead is is_refused
    if is_refused:
        ended = waiter.wait()
        assert isinstance(ended, Failure)
        assert ended.failure().ran is Ran.NOT_RUN
        assert ended.failure().retry_after_s
        assert owner.abandoned == ([7] if waits else [])
    else:
        waiter.kill()
