"""Read request bodies: keep small ones in memory and stream large ones."""

import abc
from collections.abc import Iterator
from typing import Protocol

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_core._internal.ports import Body

CHUNK_BYTES = 64 * 1024


class IncompleteBodyError(AdapterError):
    """A request body ended early or cannot be read."""


class Readable(Protocol):
    """Interface of the WSGI input."""

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes; empty at the end of the input."""


class ReadWatch(abc.ABC):
    """Watch of a connection that must not go on while the connection is read."""

    @abc.abstractmethod
    def pause(self) -> None:
        """Stop watching until ``resume``."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Watch again."""


class BufferedBody(Body):
    """Small body that is kept in memory, so that it can be sent again."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    @property
    def length(self) -> int | None:
        """Return the length in bytes."""
        return len(self._content)

    @property
    def can_replay(self) -> bool:
        """Return True, as the whole body is in memory."""
        return True

    def chunks(self) -> Iterator[bytes]:
        """Yield the content."""
        yield self._content


class StreamedBody(Body):
    """Body that is too large to keep; ``start`` holds the bytes already read."""

    def __init__(self, start: bytes, rest: Readable, length: int | None) -> None:
        self._start = start
        self._rest = rest
        self._length = length
        self._watch: ReadWatch | None = None
        self._is_spent = False

    def watch_with(self, watch: ReadWatch) -> None:
        """Pause a watch of the connection whenever the body is read."""
        self._watch = watch

    @property
    def length(self) -> int | None:
        """Return the Content-Length in bytes, or None if the body is chunked."""
        return self._length

    @property
    def can_replay(self) -> bool:
        """Return False, as the caller's body can be read only once."""
        return False

    @property
    def is_spent(self) -> bool:
        """Return whether a part of the body was read beyond its start."""
        return self._is_spent

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks; raise IncompleteBodyError if it ends early."""
        if self._is_spent:
            raise IncompleteBodyError("the body was read by an earlier attempt")
        yield self._start
        self._is_spent = True
        received = len(self._start)
        while self._length is None or received < self._length:
            chunk = self._read_chunk()
            if not chunk:
                break
            received += len(chunk)
            yield chunk
        _check_length(received, self._length)

    def _read_chunk(self) -> bytes:
        watch = self._watch
        if watch is None:
            return _read(self._rest, CHUNK_BYTES)
        watch.pause()
        try:
            return _read(self._rest, CHUNK_BYTES)
        finally:
            watch.resume()


def read_body(source: Readable, length: int | None) -> Body:
    """Return a body of ``length`` bytes; raise IncompleteBodyError if it is shorter."""
    start = _read_up_to(source, CHUNK_BYTES if length is None else length)
    if len(start) < CHUNK_BYTES or len(start) == length:
        _check_length(len(start), length)
        return BufferedBody(start)
    return StreamedBody(start, source, length)


def _read_up_to(source: Readable, limit_bytes: int) -> bytes:
    remaining = min(limit_bytes, CHUNK_BYTES)
    chunks: list[bytes] = []
    while remaining > 0:
        chunk = _read(source, remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def _read(source: Readable, size: int) -> bytes:
    try:
        return source.read(size)
    except (OSError, ValueError) as error:
        raise IncompleteBodyError(
            "the request body cannot be read", context=type(error).__name__
        ) from error


def _check_length(received: int, length: int | None) -> None:
    if length is not None and received < length:
        raise IncompleteBodyError(
            "the request body is shorter than its Content-Length",
            context=f"{received} of {length} bytes",
        )
