"""Send a question to a task and wait for the reply with the same key."""

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
    """Passes each reply to the greenlets that wait for its key.

    ``key_of`` returns the key of a reply, which is also the key of its question.
    """

    def __init__(self, key_of: Callable[[Reply], Hashable]) -> None:
        self._key_of = key_of
        self._waiting: dict[Hashable, list[Any]] = {}

    def put(self, message: Reply) -> None:
        """Wake the callers that wait for the reply's key."""
        self.resolve(message)

    def resolve(self, message: Reply) -> bool:
        """Wake the callers that wait for the reply's key; return whether any did."""
        events = self._waiting.pop(self._key_of(message), [])
        for event in events:
            event.send(message)
        return bool(events)

    def ask(
        self, key: Hashable, send: Callable[[], None], timeout_s: float
    ) -> Reply | None:
        """Send a question and return its reply, or None after ``timeout_s``."""
        event = eventlet.event.Event()
        self._waiting.setdefault(key, []).append(event)
        send()
        reply: Reply | None = None
        try:
            with eventlet.Timeout(timeout_s, False):
                reply = event.wait()
        finally:
            self._forget(key, event)
        return reply

    def _forget(self, key: Hashable, event: Any) -> None:
        waiting = self._waiting.get(key, [])
        if event in waiting:
            waiting.remove(event)
        if not waiting:
            self._waiting.pop(key, None)
