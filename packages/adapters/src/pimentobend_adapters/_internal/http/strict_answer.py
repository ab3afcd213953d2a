"""Read answers by the grammar of HTTP; ``http.client`` accepts more."""

import http.client
from collections.abc import Callable
from typing import Any

from urllib3.exceptions import ProtocolError

from pimentobend_adapters._internal.http.chunk_lines import ChunkLines
from pimentobend_adapters._internal.http.framing import resolve_framing
from pimentobend_adapters._internal.http.heads import HeadReader
from pimentobend_adapters._internal.http.heads import LineReader
from pimentobend_adapters._internal.http.heads import MalformedHeadError
from pimentobend_adapters._internal.http.heads import MalformedLineError

INTERIM_STATUSES = range(100, 200)
BODILESS_STATUSES = (204, 304)
VERSION_1_0 = 10  # as ``http.client`` writes it
MAX_INTERIM_ANSWERS = 16
MAX_LINE_BYTES = 65536  # of a chunk's size, or of a trailer


class StrictAnswer(http.client.HTTPResponse):
    """Answer that follows the grammar, with bounds on interim answers and trailers."""

    fp: Any
    chunked: bool
    chunk_left: int | None
    length: int | None
    will_close: bool
    version: int
    _check_close: Callable[[], bool]
    _close_conn: Callable[[], None]
    _method: str

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._interim_answers = 0

    def begin(self) -> None:
        """Read the head; raise ``CutLineError`` if it is not whole."""
        inner = self.fp
        self.fp = HeadReader(inner, has_start_line=True)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = inner
        self._frame_body()

    def _frame_body(self) -> None:
        """Set how the body ends, in place of what the library read from the head."""
        framing = resolve_framing(self.headers)
        if framing.is_chunked and self.version == VERSION_1_0:
            raise MalformedHeadError("an answer in HTTP/1.0 is chunked")
        has_body = self.status not in BODILESS_STATUSES and self._method != "HEAD"
        self.chunked = framing.is_chunked and has_body
        self.length = framing.length if has_body else 0
        self.will_close = self._check_close() or (
            self.length is None and not self.chunked
        )

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the answer, after the interim answers."""
        while True:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise http.client.HTTPException("too many interim answers")
            line: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
            if line[1] not in INTERIM_STATUSES:
                return line
            http.client.parse_headers(self.fp)

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current chunk; None at the end of the body."""
        if self.chunk_left:
            return self.chunk_left
        lines = ChunkLines(LineReader(self.fp), MAX_LINE_BYTES)
        if self.chunk_left is not None:
            lines.read_end()
        self.chunk_left = lines.read_size() or None
        if self.chunk_left is None:
            lines.discard_trailers()
            self._close_conn()
        return self.chunk_left


def is_malformed(error: Exception) -> bool:
    """Return whether an answer was malformed; otherwise its connection failed."""
    # The last argument of a ProtocolError is the error that urllib3 wrapped.
    wrapped = error.args[-1] if isinstance(error, ProtocolError) else error
    if isinstance(wrapped, http.client.IncompleteRead):
        return False
    return isinstance(wrapped, http.client.HTTPException | MalformedLineError)
