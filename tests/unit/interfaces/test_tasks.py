"""Test that a task goes on after a message that it, or its outlet, cannot handle.

A task whose loop ends leaves its process running without it: an instance that no
longer follows the list of servers looks healthy.
"""

from collections.abc import Callable
from collections.abc import Mapping

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_adapters._internal.tasks import TimedTask
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.pipes import TimedFilter

ERRORS: list[Callable[[], Exception]] = [
    lambda: OverflowError("can't serialize ints"),
    lambda: RecursionError("maximum recursion depth exceeded"),
    lambda: UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed"),
    lambda: ValueError("math domain error"),
    lambda: KeyError("x"),
]
ODD = 13


class Echo(StatefulFilter[int, int]):
    """Returns each message twice; raises for the odd one."""

    def __init__(self, error: Callable[[], Exception] | None = None) -> None:
        self._error = error

    def handle(self, message: int, now: float) -> tuple[int, ...]:
        if self._error is not None and message == ODD:
            raise self._error()
        return (message, message + 100)

    def dump(self) -> Mapping[str, object]:
        return {"kind": "echo"}


def _run(task: FilterTask[int, int]) -> Mapping[str, object]:
    task.start()
    for message in (1, ODD, 2):
        task.put(message)
    eventlet.sleep(0)
    state = task.dump()
    task.stop()
    return state


@pytest.mark.parametrize("error", ERRORS, ids=[type(e()).__name__ for e in ERRORS])
def test_a_task_goes_on_after_a_message_that_its_filter_cannot_handle(
    error: Callable[[], Exception],
) -> None:
    taken: list[int] = []
    task = FilterTask("echo", Echo(error), CallOutlet(taken.append), HubClock())
    state = _run(task)
    assert taken == [1, 101, 2, 102]
    assert state == {"kind": "echo", "failed_messages": 1}


@pytest.mark.parametrize("error", ERRORS, ids=[type(e()).__name__ for e in ERRORS])
def test_a_task_goes_on_after_an_output_that_its_outlet_cannot_take(
    error: Callable[[], Exception],
) -> None:
    taken: list[int] = []

    def take(message: int) -> None:
        if message == ODD:
            raise error()
        taken.append(message)

    task = FilterTask("echo", Echo(), CallOutlet(take), HubClock())
    state = _run(task)
    assert taken == [1, 101, ODD + 100, 2, 102]
    assert state == {"kind": "echo", "failed_messages": 1}


def test_a_task_without_failures_does_not_list_them() -> None:
    taken: list[int] = []
    ticking = PeriodicMessage(60.0, 1)
    task = FilterTask("echo", Echo(), CallOutlet(taken.append), HubClock(), ticking)
    assert _run(task) == {"kind": "echo"}


class Timer(TimedFilter[int, float]):
    """Returns the time of each tick, and is due again after ``interval_s``."""

    def __init__(self, interval_s: float | None, fails: bool = False) -> None:
        self._interval_s = interval_s
        self._fails = fails
        self._due_at = HubClock().now()
        self.ticks = 0

    @property
    def due_at(self) -> float | None:
        return None if self._interval_s is None else self._due_at

    def handle(self, message: int, now: float) -> tuple[float, ...]:
        self.ticks += 1
        if self._fails:
            raise ValueError
        self._due_at = now + (self._interval_s or 0)
        return (now,)

    def dump(self) -> Mapping[str, object]:
        return {}


@pytest.mark.parametrize(
    ("timer", "least", "most"),
    [
        (Timer(None), 0, 0),
        (Timer(60.0), 1, 1),
        (Timer(0.04), 3, 5),
        (Timer(60.0, fails=True), 5, 20),
    ],
    ids=["never-due", "once", "at-intervals", "a-failing-tick-is-no-loop"],
)
def test_a_timed_task_is_called_when_its_filter_is_due(
    timer: Timer, least: int, most: int
) -> None:
    """Guards against ticks without work, and a task that uses up the processor."""
    task = TimedTask("timer", timer, CallOutlet(lambda _: None), HubClock(), 0)
    task.start()
    eventlet.sleep(0.2)
    task.stop()
    assert least <= timer.ticks <= most
