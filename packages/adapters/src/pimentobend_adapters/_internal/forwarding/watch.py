"""Detect that a client closes its connection while it waits for an answer."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs


class ConnectionWatch:
    """Task that calls ``on_closed`` once the other end closes the connection."""

    def __init__(self, connection: Any, on_closed: Callable[[], None]) -> None:
        self._connection = connection
        self._on_closed = on_closed
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop watching, so that the connection can be read again."""
        self._greenlet.kill()

    def _run(self) -> None:
        descriptor = self._connection.fileno()
        if descriptor < 0:
            self._on_closed()
            return
        eventlet.hubs.trampoline(descriptor, read=True)
        try:
            received = self._connection.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            received = b""  # a reset also means that the client is gone
        if not received:
            self._on_closed()
