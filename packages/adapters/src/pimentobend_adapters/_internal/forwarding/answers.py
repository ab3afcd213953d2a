"""Buffer small answers for repeated delivery and stream large ones."""

from collections.abc import Iterator
from http.client import HTTPException
from typing import Any

from urllib3.exceptions import HTTPError

from pimentobend_adapters._internal.http.backend import AnswerTruncatedError
from pimentobend_adapters._internal.http.bodies import CHUNK_BYTES
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult

BUFFER_BYTES = 256 * 1024  # answers of this size and above are streamed


class BufferedAnswer(AnswerBody):
    """Answer whose body is in memory and can be read more than once."""

    def __init__(self, content: bytes) -> None:
        self._content = content

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


class StreamedAnswer(AnswerBody):
    """Answer that is too large to keep; ``start`` holds the bytes already read."""

    def __init__(self, start: bytes, response: Any, connection: Any) -> None:
        self._start = start
        self._response = response
        self._connection = connection

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks; raise AnswerTruncatedError if it is incomplete."""
        yield self._start
        try:
            while chunk := self._response.read(CHUNK_BYTES):
                yield chunk
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            raise AnswerTruncatedError(
                "the answer was truncated",
                context=type(error).__name__,
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def read_answer(response: Any, connection: Any) -> tuple[AnswerBody, bool]:
    """Return an answer's body and whether it was read completely.

    Raises ``HTTPError`` or ``OSError`` if reading fails.
    """
    chunks: list[bytes] = []
    size = 0
    while size < BUFFER_BYTES:
        chunk = response.read(CHUNK_BYTES)
        if not chunk:
            return BufferedAnswer(b"".join(chunks)), True
        chunks.append(chunk)
        size += len(chunk)
    return StreamedAnswer(b"".join(chunks), response, connection), False


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
