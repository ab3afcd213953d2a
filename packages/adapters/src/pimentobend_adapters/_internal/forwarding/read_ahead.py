"""Read an answer within the memory that is free, and ahead of its caller."""

from collections.abc import Iterator
from http.client import HTTPException
from typing import Any

import eventlet
import eventlet.event
import eventlet.queue
from urllib3.exceptions import HTTPError

from pimentobend_adapters._internal.http.body_reader import CHUNK_BYTES
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.memory.budget import Use
from pimentobend_core._internal.ports import ClockPort

AHEAD_BYTES = 1024 * 1024  # that are read before the caller takes them
SCANT_BYTES = 8 * 1024  # that are read at once while no memory is free


class AnswerReader:
    """Reads the body of an answer, which must be complete by ``deadline`` (seconds).

    ``reservation`` holds the bytes that were read and are not given back.
    """

    def __init__(
        self, response: Any, clock: ClockPort, deadline: float, memory: MemoryOwner
    ) -> None:
        self._response = response
        self._clock = clock
        self._deadline = deadline
        self._memory = memory
        self.reservation = memory.open()
        self._read_on_task: Any = None
        self._queue: Any = eventlet.queue.LightQueue()
        self._queued_bytes = 0
        self._taken: Any = eventlet.event.Event()

    @property
    def has_room(self) -> bool:
        """Return whether memory is free for a chunk."""
        return self._memory.has_room(CHUNK_BYTES, Use.ANSWER)

    def read(self) -> bytes:
        """Return the next bytes; raise ``TimeoutError`` at the deadline."""
        size = CHUNK_BYTES if self.has_room else SCANT_BYTES
        self.reservation.change(size)
        chunk = b""
        try:
            chunk = read_chunk(self._response, self._clock, self._deadline, size)
        finally:
            self.reservation.change(len(chunk) - size)
        return chunk

    def read_rest(self) -> Iterator[bytes]:
        """Yield the chunks; read on before the caller takes them if memory is free."""
        if not self._memory.is_limited:
            while chunk := self.read():
                yield chunk
                self.reservation.change(-len(chunk))
            return
        self._read_on_task = eventlet.spawn(self._read_on)
        while chunk := self._take():
            yield chunk
            self.reservation.change(-len(chunk))
            self._queued_bytes -= len(chunk)
            taken, self._taken = self._taken, eventlet.event.Event()
            taken.send()

    def close(self) -> None:
        """Stop reading and give the memory back."""
        if self._read_on_task is not None:
            self._read_on_task.kill()
            self._queue.put(b"")  # a caller may wait for more
        self.reservation.release()

    def _take(self) -> bytes:
        item = self._queue.get()
        if isinstance(item, Exception):
            raise item
        chunk: bytes = item
        return chunk

    def _read_on(self) -> None:
        try:
            chunk = self.read()
            while chunk:
                self._queued_bytes += len(chunk)
                self._queue.put(chunk)
                while self._must_wait():
                    self._taken.wait()
                chunk = self.read()
            self._queue.put(chunk)
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            self._queue.put(error)

    def _must_wait(self) -> bool:
        if not self._queued_bytes:
            return False
        if self._queued_bytes >= AHEAD_BYTES:
            return True
        return not self._memory.has_room(CHUNK_BYTES, Use.AHEAD)


def read_chunk(
    response: Any, clock: ClockPort, deadline: float, size_bytes: int = CHUNK_BYTES
) -> bytes:
    """Return the next bytes of a body; raise ``TimeoutError`` at the deadline."""
    timeout = eventlet.Timeout(
        max(0.0, deadline - clock.now()), TimeoutError("the deadline passed")
    )
    try:
        chunk: bytes = response.read1(size_bytes)
    finally:
        timeout.cancel()
    if clock.now() >= deadline:
        raise TimeoutError("the deadline passed")
    return chunk
