"""Run stateful filters as tasks that receive messages through an inbox.

A task passes what its filter returns to an outlet.
"""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

import eventlet
import eventlet.event
import eventlet.queue

from pimentobend_adapters._internal.answering import describe_error
from pimentobend_adapters._internal.logs import get_log
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.pipes import TimedFilter
from pimentobend_core._internal.ports import ClockPort

In = TypeVar("In")
Out = TypeVar("Out")
Message = TypeVar("Message")
Accepted = TypeVar("Accepted", contravariant=True)

DUMP_TIMEOUT_S = 2.0
# Shortest wait for a tick, so that a filter whose tick fails is not called in a loop.
MIN_TICK_WAIT_S = 0.01


class Outlet(abc.ABC, Generic[Accepted]):
    """Destination of the messages that a task emits."""

    @abc.abstractmethod
    def put(self, message: Accepted) -> None:
        """Accept one message without blocking."""


class Discard(Outlet[object]):
    """Outlet that drops every message."""

    def put(self, message: object) -> None:
        """Drop the message."""


class CallOutlet(Outlet[Message]):
    """Outlet that calls a function with each message."""

    def __init__(self, function: Callable[[Message], None]) -> None:
        self._function = function

    def put(self, message: Message) -> None:
        """Call the function with the message."""
        self._function(message)


class _DumpRequest(NamedTuple):
    reply: Any  # eventlet event that the state is sent to


class PeriodicMessage(NamedTuple, Generic[Message]):
    """Message that a task receives every ``interval_s`` seconds."""

    interval_s: float
    message: Message


class FilterTask(Outlet[In], Generic[In, Out]):
    """Run a stateful filter on messages from an inbox and on periodic ticks.

    A message that the filter cannot handle, or an output that the outlet cannot take,
    is logged and counted. The task goes on with the next one, as a process without one
    of its tasks would look healthy.
    """

    def __init__(
        self,
        name: str,
        state_filter: StatefulFilter[In, Out],
        outlet: Outlet[Out],
        clock: ClockPort,
        ticking: PeriodicMessage[In] | None = None,
    ) -> None:
        self._name = name
        self._filter = state_filter
        self._outlet = outlet
        self._clock = clock
        self._ticking = ticking
        self._inbox: Any = eventlet.queue.LightQueue()
        self._greenlets: list[Any] = []
        self._failed_messages = 0

    @property
    def name(self) -> str:
        """Return the task's name in state dumps."""
        return self._name

    def put(self, message: In) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    def start(self) -> None:
        """Start processing messages."""
        self._greenlets.append(eventlet.spawn(self._run))
        if self._ticking is not None:
            self._greenlets.append(eventlet.spawn(self._tick, self._ticking))

    def stop(self) -> None:
        """Stop processing messages."""
        for greenlet in self._greenlets:
            greenlet.kill()
        self._greenlets.clear()

    def dump(self) -> Mapping[str, object]:
        """Return the filter's state; empty if it does not answer in time."""
        reply = eventlet.event.Event()
        self._inbox.put(_DumpRequest(reply))
        with eventlet.Timeout(DUMP_TIMEOUT_S, False):
            state: Mapping[str, object] = reply.wait()
            return state
        return {}

    def _run(self) -> None:
        while True:
            message = self._receive()
            if isinstance(message, _DumpRequest):
                message.reply.send(self._dump())
                continue
            try:
                outputs = self._filter.handle(message, self._clock.now())
            except Exception as error:
                self._report(message, error)
                continue
            for output in outputs:
                self._pass_on(output)

    def _receive(self) -> Any:
        return self._inbox.get()

    def _pass_on(self, output: Out) -> None:
        try:
            self._outlet.put(output)
        except Exception as error:
            self._report(output, error)

    def _report(self, message: object, error: Exception) -> None:
        self._failed_messages += 1
        get_log().error(
            "message-failed",
            task=self._name,
            message=type(message).__name__,
            error=describe_error(error),
        )

    def _dump(self) -> Mapping[str, object]:
        state = self._filter.dump()
        if not self._failed_messages:
            return state
        return {**state, "failed_messages": self._failed_messages}

    def _tick(self, ticking: PeriodicMessage[In]) -> None:
        while True:
            eventlet.sleep(ticking.interval_s)
            self._inbox.put(ticking.message)


class TimedTask(FilterTask[In, Out]):
    """Run a timed filter: it receives ``tick`` when it is due, and no other ticks."""

    def __init__(
        self,
        name: str,
        timed_filter: TimedFilter[In, Out],
        outlet: Outlet[Out],
        clock: ClockPort,
        tick: In,
    ) -> None:
        super().__init__(name, timed_filter, outlet, clock)
        self._timed = timed_filter
        self._tick_message = tick

    def _receive(self) -> Any:
        due_at = self._timed.due_at
        if due_at is None:
            return self._inbox.get()
        wait_s = max(MIN_TICK_WAIT_S, due_at - self._clock.now())
        try:
            return self._inbox.get(timeout=wait_s)
        except eventlet.queue.Empty:
            return self._tick_message
