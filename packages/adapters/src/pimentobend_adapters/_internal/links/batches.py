"""Batch messages to the same recipient."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import eventlet

Message = TypeVar("Message")


class Batcher(Generic[Message]):
    """Collect messages per recipient and send them together after ``window_s``."""

    def __init__(
        self, send: Callable[[str, tuple[Message, ...]], None], window_s: float
    ) -> None:
        self._send = send
        self._window_s = window_s
        self._pending: dict[str, list[Message]] = {}

    def put(self, recipient: str, message: Message, is_urgent: bool) -> None:
        """Queue a message; an urgent one sends the recipient's queue at once."""
        if recipient not in self._pending:
            self._pending[recipient] = []
            if not is_urgent:
                eventlet.spawn_after(self._window_s, self._flush, recipient)
        self._pending[recipient].append(message)
        if is_urgent:
            self._flush(recipient)

    def _flush(self, recipient: str) -> None:
        messages = self._pending.pop(recipient, None)
        if messages:
            self._send(recipient, tuple(messages))
