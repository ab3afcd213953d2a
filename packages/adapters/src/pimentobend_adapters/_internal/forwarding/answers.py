"""Hold answers so that they can be given more than once."""

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

BUFFER_BYTES = 256 * 1024  # larger answers are passed on as they come


class BufferedAnswer(AnswerBody):
    """Hold a whole answer."""

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
        """Do nothing, as the content is held."""


class StreamedAnswer(AnswerBody):
    """Pass a large answer on; ``start`` was read already."""

    def __init__(self, start: bytes, response: Any, connection: Any) -> None:
        self._start = start
        self._response = response
        self._connection = connection

    def chunks(self) -> Iterator[bytes]:
        """Yield the pieces; raise AnswerTruncatedError on an early end."""
        yield self._start
        try:
            while piece := self._response.read(CHUNK_BYTES):
                yield piece
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            raise AnswerTruncatedError(
                "the answer broke off", context=type(error).__name__
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def read_answer(response: Any, connection: Any) -> tuple[AnswerBody, bool]:
    """Return an answer's body and whether it was read to its end.

    Raises ``HTTPError`` or ``OSError`` where it breaks off.
    """
    pieces: list[bytes] = []
    size = 0
    while size < BUFFER_BYTES:
        piece = response.read(CHUNK_BYTES)
        if not piece:
            return BufferedAnswer(b"".join(pieces)), True
        pieces.append(piece)
        size += len(piece)
    return StreamedAnswer(b"".join(pieces), response, connection), False


def make_attempted(
    kind: AttemptKind,
    latency_s: float,
    status: int = 0,
    headers: Headers = (),
    body: AnswerBody | None = None,
) -> AttemptResult:
    """Return the end of an attempt."""
    return AttemptResult(kind, status, headers, body, latency_s, False, None)
