"""Read request bodies: keep small ones in memory and stream large ones."""

from collections.abc import Iterator

from pimentobend_adapters._internal.http.body_reader import CHUNK_BYTES
from pimentobend_adapters._internal.http.body_reader import BodyReader
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.body_reader import Readable
from pimentobend_adapters._internal.http.body_reader import read_piece
from pimentobend_adapters._internal.http.close_watcher import CloseWatch
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.ports import Body


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

    def __init__(
        self,
        start: bytes,
        rest: Readable,
        length: int | None,
        memory: MemoryOwner | None = None,
    ) -> None:
        self._start = start
        self._reader = BodyReader(rest, memory or MemoryOwner())
        self._length = length
        self._watch: CloseWatch | None = None
        self._is_spent = False

    def read_ahead(self, watch: CloseWatch) -> None:
        """Read on before the body is taken; ``watch`` is that of its connection."""
        self._watch = watch
        self._reader.start()

    def close(self, *, is_connection_kept: bool) -> None:
        """Stop reading; the body can no longer be taken."""
        self._reader.close(is_connection_kept=is_connection_kept)

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
        """Return whether a part of the body was taken beyond its start."""
        return self._is_spent

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks; raise IncompleteBodyError if it ends early."""
        if self._is_spent:
            raise IncompleteBodyError("the body was read by an earlier attempt")
        yield self._start
        self._is_spent = True
        self._reader.start()
        received = len(self._start)
        while self._length is None or received < self._length:
            chunk = self._reader.take()
            if not chunk:
                break
            received += len(chunk)
            if received == self._length:
                self._check_caller()
            yield chunk
        _check_length(received, self._length)
        if self._length is None:
            self._check_caller()

    def _check_caller(self) -> None:
        """Raise IncompleteBodyError if the caller left before the body's end is sent.

        A server runs a request once it has all of it, and the close may have come
        behind more bytes than were read ahead.
        """
        if self._watch is not None and self._watch.check():
            raise IncompleteBodyError("the caller closed its connection")


def read_body(
    source: Readable, length: int | None, memory: MemoryOwner | None = None
) -> Body:
    """Return a body of ``length`` bytes; raise IncompleteBodyError if it is shorter."""
    start = _read_up_to(source, CHUNK_BYTES if length is None else length)
    if len(start) < CHUNK_BYTES or len(start) == length:
        _check_length(len(start), length)
        return BufferedBody(start)
    return StreamedBody(start, source, length, memory)


def _read_up_to(source: Readable, limit_bytes: int) -> bytes:
    remaining = min(limit_bytes, CHUNK_BYTES)
    chunks: list[bytes] = []
    while remaining > 0:
        chunk = read_piece(source, remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def _check_length(received: int, length: int | None) -> None:
    if length is not None and received < length:
        raise IncompleteBodyError(
            "the request body is shorter than its Content-Length",
            context=f"{received} of {length} bytes",
        )
