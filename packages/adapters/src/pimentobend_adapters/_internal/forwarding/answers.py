"""Buffer small answers for repeated delivery and stream large ones."""

from collections.abc import Iterator
from http.client import HTTPException
from typing import Any

from urllib3.exceptions import HTTPError

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_adapters._internal.forwarding.read_ahead import AnswerReader
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.memory import Reservation
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import ClockPort

BUFFER_BYTES = 256 * 1024  # answers of this size and above are streamed


class BufferedAnswer(AnswerBody):
    """Answer whose body is in memory and can be read more than once."""

    def __init__(self, content: bytes, reservation: Reservation | None = None) -> None:
        self._content = content
        # Returns once nothing refers to this answer and so to its content.
        self._reservation = reservation

    @property
    def length(self) -> int:
        """Return the length in bytes."""
        return len(self._content)

    def chunks(self) -> Iterator[bytes]:
        """Yield the content."""
        if self._content:
            yield self._content

    def close(self) -> None:
        """Do nothing; no connection is in use."""


class AnswerTruncatedError(AdapterError):
    """An answer ended before its stated length."""


class StreamedAnswer(AnswerBody):
    """Answer that is too large to keep; ``start`` holds the bytes already read.

    It must be complete by ``deadline``, in seconds of ``clock``.
    """

    def __init__(
        self,
        start: bytes,
        response: Any,
        connection: Any,
        clock: ClockPort,
        deadline: float,
        reader: AnswerReader | None = None,
    ) -> None:
        self._start = start
        self._connection = connection
        self._reader = reader or AnswerReader(response, clock, deadline, MemoryOwner())
        self._is_taken = False
        self._is_closed = False

    def take(self) -> bool:
        """Return whether the caller is the first one, which may read the answer."""
        is_first = not self._is_taken
        self._is_taken = True
        return is_first

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks; raise AnswerTruncatedError if it is incomplete."""
        # The answer may be referred to for long after it was read.
        start, self._start = self._start, b""
        try:
            self._check_open()
            start_bytes = len(start)
            yield start
            del start
            self._reader.reservation.change(-start_bytes)
            yield from self._reader.read_rest()
            # A closed response has no bytes either, though it may not be complete.
            self._check_open()
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            raise AnswerTruncatedError(
                "the answer was truncated",
                context=type(error).__name__,
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and free what was read."""
        self._is_closed = True
        self._start = b""
        self._reader.close()
        self._connection.close()

    def _check_open(self) -> None:
        if self._is_closed:
            raise AnswerTruncatedError("the answer was closed before its end")


def read_answer(
    response: Any,
    connection: Any,
    clock: ClockPort,
    deadline: float,
    memory: MemoryOwner | None = None,
) -> tuple[AnswerBody, bool]:
    """Return an answer's body and whether it was read completely.

    While no memory is free, answers of more than a few bytes are streamed.

    Raises ``HTTPError`` or ``OSError`` if reading fails.
    """
    chunks: list[bytes] = []
    reader = AnswerReader(response, clock, deadline, memory or MemoryOwner())
    try:
        is_whole = _read_start(reader, chunks)
    except BaseException:
        # The end of a killed task refers to its frames until garbage is collected.
        chunks.clear()
        reader.close()
        raise
    if is_whole:
        return BufferedAnswer(b"".join(chunks), reader.reservation), True
    return StreamedAnswer(
        b"".join(chunks), response, connection, clock, deadline, reader
    ), False


def _read_start(reader: AnswerReader, chunks: list[bytes]) -> bool:
    """Read what is buffered of an answer; return whether that is all of it."""
    size = 0
    while size < BUFFER_BYTES and (not chunks or reader.has_room):
        chunk = reader.read()
        if not chunk:
            return True
        chunks.append(chunk)
        size += len(chunk)
    return False


def make_attempt_result(
    kind: AttemptKind,
    latency_s: float,
    status: int = 0,
    headers: Headers = (),
    body: AnswerBody | None = None,
) -> AttemptResult:
    """Return an attempt's result.

    It tells neither whether a connection was reused nor the server's load.
    """
    return AttemptResult(kind, status, headers, body, latency_s, False, None)
