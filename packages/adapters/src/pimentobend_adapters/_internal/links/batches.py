"""Gather messages to the same recipient into one frame."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import eventlet

Message = TypeVar("Message")


class Batches(Generic[Message]):
    """Own the messages that wait for the end of their window."""

    def __init__(
        self, send: Callable[[str, tuple[Message, ...]], None], window_s: float
    ) -> None:
        self._send = send
        self._window_s = window_s
        self._waiting: dict[str, list[Message]] = {}

    def put(self, recipient: str, message: Message, is_urgent: bool) -> None:
        """Take a message; an urgent one leaves at once, with those that wait."""
        if recipient not in self._waiting:
            self._waiting[recipient] = []
            if not is_urgent:
                eventlet.spawn_after(self._window_s, self._flush, recipient)
        self._waiting[recipient].append(message)
        if is_urgent:
            self._flush(recipient)

    def _flush(self, recipient: str) -> None:
        messages = self._waiting.pop(recipient, None)
        if messages:
            self._send(recipient, tuple(messages))
