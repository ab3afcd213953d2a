"""Notice a peer that closes its connection while it waits for an answer."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs


class ConnectionWatch:
    """Own a task that waits for the end of a connection."""

    def __init__(self, connection: Any, on_closed: Callable[[], None]) -> None:
        self._connection = connection
        self._on_closed = on_closed
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop watching; the connection may be read again."""
        self._greenlet.kill()

    def _run(self) -> None:
        descriptor = self._connection.fileno()
        if descriptor < 0:
            self._on_closed()
            return
        eventlet.hubs.trampoline(descriptor, read=True)
        try:
            waiting = self._connection.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            waiting = b""  # reset by the peer, which has gone all the same
        if not waiting:
            self._on_closed()
