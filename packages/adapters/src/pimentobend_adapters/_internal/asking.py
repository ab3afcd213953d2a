"""Ask a task a question and wait for the reply that carries its name."""

from collections.abc import Callable
from collections.abc import Hashable
from typing import Any
from typing import Generic
from typing import TypeVar

import eventlet
import eventlet.event

from pimentobend_adapters._internal.tasks import Outlet

Reply = TypeVar("Reply")


class Replies(Outlet[Reply], Generic[Reply]):
    """Hand each reply to those who wait for its name."""

    def __init__(self, name_of: Callable[[Reply], Hashable]) -> None:
        self._name_of = name_of
        self._waiting: dict[Hashable, list[Any]] = {}

    def put(self, message: Reply) -> None:
        """Wake those who wait for the reply's name."""
        self.give(message)

    def give(self, message: Reply) -> bool:
        """Wake those who wait for the reply's name; say whether anyone did."""
        events = self._waiting.pop(self._name_of(message), [])
        for event in events:
            event.send(message)
        return bool(events)

    def ask(
        self, name: Hashable, send: Callable[[], None], timeout_s: float
    ) -> Reply | None:
        """Send a question and return the reply, or None after ``timeout_s``."""
        event = eventlet.event.Event()
        self._waiting.setdefault(name, []).append(event)
        send()
        reply: Reply | None = None
        try:
            with eventlet.Timeout(timeout_s, False):
                reply = event.wait()
        finally:
            self._forget(name, event)
        return reply

    def _forget(self, name: Hashable, event: Any) -> None:
        waiting = self._waiting.get(name, [])
        if event in waiting:
            waiting.remove(event)
        if not waiting:
            self._waiting.pop(name, None)
