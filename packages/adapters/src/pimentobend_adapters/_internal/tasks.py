"""Run state owners as tasks that take messages from an inbox."""

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

from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.ports import ClockPort

In = TypeVar("In")
Out = TypeVar("Out")
Message = TypeVar("Message")
Taken = TypeVar("Taken", contravariant=True)

DUMP_TIMEOUT_S = 2.0


class Outlet(abc.ABC, Generic[Taken]):
    """Take the messages that a task gives out."""

    @abc.abstractmethod
    def put(self, message: Taken) -> None:
        """Take one message without waiting."""


class Discard(Outlet[object]):
    """Drop every message."""

    def put(self, message: object) -> None:
        """Drop the message."""


class CallOutlet(Outlet[Message]):
    """Hand each message to a function."""

    def __init__(self, function: Callable[[Message], None]) -> None:
        self._function = function

    def put(self, message: Message) -> None:
        """Call the function with the message."""
        self._function(message)


class _DumpAsked(NamedTuple):
    reply: Any  # an eventlet event


class Ticking(NamedTuple, Generic[Message]):
    """Give a task a message every ``interval_s`` seconds."""

    interval_s: float
    message: Message


class FilterTask(Outlet[In], Generic[In, Out]):
    """Own a stateful filter, its inbox and its ticks."""

    def __init__(
        self,
        name: str,
        owner: StatefulFilter[In, Out],
        outlet: Outlet[Out],
        clock: ClockPort,
        ticking: Ticking[In] | None = None,
    ) -> None:
        self._name = name
        self._owner = owner
        self._outlet = outlet
        self._clock = clock
        self._ticking = ticking
        self._inbox: Any = eventlet.queue.LightQueue()
        self._greenlets: list[Any] = []

    @property
    def name(self) -> str:
        """Return the name of the task in dumps."""
        return self._name

    def put(self, message: In) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    def start(self) -> None:
        """Start taking messages."""
        self._greenlets.append(eventlet.spawn(self._run))
        if self._ticking is not None:
            self._greenlets.append(eventlet.spawn(self._tick, self._ticking))

    def stop(self) -> None:
        """Stop taking messages."""
        for greenlet in self._greenlets:
            greenlet.kill()
        self._greenlets.clear()

    def dump(self) -> Mapping[str, object]:
        """Ask the task for its state; empty when it does not answer in time."""
        reply = eventlet.event.Event()
        self._inbox.put(_DumpAsked(reply))
        with eventlet.Timeout(DUMP_TIMEOUT_S, False):
            state: Mapping[str, object] = reply.wait()
            return state
        return {}

    def _run(self) -> None:
        while True:
            message = self._inbox.get()
            if isinstance(message, _DumpAsked):
                message.reply.send(self._owner.dump())
                continue
            for following in self._owner.handle(message, self._clock.now()):
                self._outlet.put(following)

    def _tick(self, ticking: Ticking[In]) -> None:
        while True:
            eventlet.sleep(ticking.interval_s)
            self._inbox.put(ticking.message)
