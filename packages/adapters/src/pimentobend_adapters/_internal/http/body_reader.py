"""Read the body of a request before it is passed on, within the memory that is free."""

from typing import Any
from typing import Protocol

import eventlet.event
import eventlet.queue

from pimentobend_adapters._internal.answering import spawn_answering
from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.memory.budget import Use

CHUNK_BYTES = 64 * 1024
AHEAD_BYTES = 1024 * 1024  # of a body, that wait to be passed on
ROOM_CHECK_S = 0.25  # memory may become free without anything being passed on


class IncompleteBodyError(AdapterError):
    """A request body ended early or cannot be read."""


class Readable(Protocol):
    """Interface of the WSGI input."""

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes; empty at the end of the input."""


class BodyReader:
    """Task that reads a body to its end, as far ahead as memory is free.

    What a caller does after its body, such as leaving, is not seen before the body has
    been read: the kernel takes nothing beyond its buffers.
    """

    def __init__(self, source: Readable, memory: MemoryOwner) -> None:
        self._source = source
        self._memory = memory
        self._reservation = memory.open()
        self._queue: Any = eventlet.queue.LightQueue()
        self._queued_bytes = 0
        self._taken: Any = eventlet.event.Event()
        self._greenlet: Any = None
        self._is_closed = False

    def start(self) -> None:
        """Start reading; further calls do nothing."""
        if self._greenlet is None and not self._is_closed:
            self._greenlet = spawn_answering(self._run, on_error=self._fail)

    def take(self) -> bytes:
        """Return the next bytes, none at the end; raise IncompleteBodyError."""
        item: bytes | IncompleteBodyError | None = None
        if not self._is_closed:
            item = self._queue.get()
        if self._is_closed or item is None:
            raise IncompleteBodyError("the request ended before its body was sent")
        if isinstance(item, IncompleteBodyError):
            raise item
        self._queued_bytes -= len(item)
        self._reservation.change(-len(item))
        self._wake()
        return item

    def close(self, *, is_connection_kept: bool) -> None:
        """Stop reading and give the memory back; who takes a chunk gets an error.

        On a connection that is used again, the next reader goes on behind the bytes
        that this one is still waiting for.
        """
        self._is_closed = True
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put(None)
        self._reservation.release()
        self._wake()
        if self._greenlet is not None and not is_connection_kept:
            self._greenlet.kill()

    def _wake(self) -> None:
        taken, self._taken = self._taken, eventlet.event.Event()
        taken.send()

    def _run(self) -> None:
        while not self._is_closed:
            chunk = read_piece(self._source, CHUNK_BYTES)
            if self._is_closed:
                return
            self._queued_bytes += len(chunk)
            self._reservation.change(len(chunk))
            self._queue.put(chunk)
            if not chunk:
                return
            self._wait_for_room()

    def _fail(self, error: Exception) -> None:
        if not isinstance(error, IncompleteBodyError):
            error = IncompleteBodyError(
                "the request body cannot be read", context=type(error).__name__
            )
        self._queue.put(error)

    def _wait_for_room(self) -> None:
        while self._queued_bytes and not self._is_closed and not self._has_room():
            self._taken.wait(ROOM_CHECK_S)

    def _has_room(self) -> bool:
        if self._queued_bytes >= AHEAD_BYTES:
            return False
        return self._memory.has_room(CHUNK_BYTES, Use.AHEAD)


def read_piece(source: Readable, size: int) -> bytes:
    """Return up to ``size`` bytes; raise IncompleteBodyError if reading fails."""
    try:
        return source.read(size)
    except (OSError, ValueError) as error:
        raise IncompleteBodyError(
            "the request body cannot be read", context=type(error).__name__
        ) from error
