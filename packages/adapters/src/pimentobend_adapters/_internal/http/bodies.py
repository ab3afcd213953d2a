"""Read callers' request bodies with a bounded buffer."""

from collections.abc import Iterator
from typing import Protocol

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_core._internal.ports import Body

CHUNK_BYTES = 64 * 1024


class BodyBrokenError(AdapterError):
    """Report a request body that ended before its stated length."""


class Readable(Protocol):
    """Read bytes, as the WSGI input does."""

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes; empty at the end."""


class BufferedBody(Body):
    """Hold a small body whole, so that it can be sent again."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    @property
    def length(self) -> int | None:
        """Return the length in bytes."""
        return len(self._content)

    @property
    def can_replay(self) -> bool:
        """Say that the body can be sent again."""
        return True

    def chunks(self) -> Iterator[bytes]:
        """Yield the content."""
        yield self._content


class StreamedBody(Body):
    """Pass a large body on in pieces; ``start`` was already read."""

    def __init__(self, start: bytes, rest: Readable, length: int | None) -> None:
        self._start = start
        self._rest = rest
        self._length = length

    @property
    def length(self) -> int | None:
        """Return the stated length in bytes, or None when it is chunked."""
        return self._length

    @property
    def can_replay(self) -> bool:
        """Say that the body cannot be sent again."""
        return False

    def chunks(self) -> Iterator[bytes]:
        """Yield the pieces; raise BodyBrokenError on an early end."""
        yield self._start
        seen = len(self._start)
        while self._length is None or seen < self._length:
            piece = _read(self._rest, CHUNK_BYTES)
            if not piece:
                break
            seen += len(piece)
            yield piece
        _check_length(seen, self._length)


def read_body(source: Readable, length: int | None) -> Body:
    """Return a body of ``length`` bytes; raise BodyBrokenError if it is short."""
    start = _read_up_to(source, CHUNK_BYTES if length is None else length)
    if len(start) < CHUNK_BYTES or len(start) == length:
        _check_length(len(start), length)
        return BufferedBody(start)
    return StreamedBody(start, source, length)


def _read_up_to(source: Readable, wanted: int) -> bytes:
    wanted = min(wanted, CHUNK_BYTES)
    pieces: list[bytes] = []
    while wanted > 0:
        piece = _read(source, wanted)
        if not piece:
            break
        pieces.append(piece)
        wanted -= len(piece)
    return b"".join(pieces)


def _read(source: Readable, size: int) -> bytes:
    try:
        return source.read(size)
    except (OSError, ValueError) as error:
        raise BodyBrokenError(
            "the request body broke off", context=type(error).__name__
        ) from error


def _check_length(seen: int, length: int | None) -> None:
    if length is not None and seen < length:
        raise BodyBrokenError(
            "the request body is shorter than stated",
            context=f"{seen} of {length} bytes",
        )
