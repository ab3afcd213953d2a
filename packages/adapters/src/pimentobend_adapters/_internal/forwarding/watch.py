"""Detect that a client closes its connection while it waits for an answer."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs

from pimentobend_adapters._internal.http.bodies import ReadWatch


class ConnectionWatch(ReadWatch):
    """Task that calls ``on_closed`` once the other end closes the connection.

    It waits for the socket to be readable, as a reader of the connection does, and
    only one of them may. So it is paused while the rest of a body is read; a reader
    notices a close by itself.
    """

    def __init__(self, connection: Any, on_closed: Callable[[], None]) -> None:
        self._connection = connection
        self._on_closed = on_closed
        self._is_stopped = False
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop watching, so that the connection can be read again."""
        self._is_stopped = True
        self._greenlet.kill()

    def pause(self) -> None:
        """Stop watching until ``resume``."""
        self._greenlet.kill()

    def resume(self) -> None:
        """Watch again, unless the watch was stopped."""
        if not self._is_stopped:
            self._greenlet = eventlet.spawn(self._run)

    def _run(self) -> None:
        descriptor = self._connection.fileno()
        if descriptor < 0:
            self._is_stopped = True
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
            self._is_stopped = True
            self._on_closed()
