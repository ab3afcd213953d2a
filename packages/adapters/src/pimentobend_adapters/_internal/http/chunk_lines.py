"""Read the lines of a chunked body that frame its content."""

import http.client

from pimentobend_adapters._internal.http.grammar import read_chunk_size
from pimentobend_adapters._internal.http.grammar import read_field
from pimentobend_adapters._internal.http.heads import LineReader

MAX_TRAILERS = 100
_LINE_END = b"\r\n"


class MalformedChunkError(http.client.HTTPException):
    """A line of a chunked body does not follow the grammar."""


class ChunkLines:
    """Reads the sizes and ends of chunks, and the trailers.

    Raises ``MalformedChunkError``, or ``CutLineError`` if the connection ends.
    """

    def __init__(self, source: LineReader, max_line_bytes: int) -> None:
        self._source = source
        self._max_line_bytes = max_line_bytes

    def read_size(self) -> int:
        """Return the size of the next chunk in bytes; 0 after the last one."""
        size = read_chunk_size(self._read_line())
        if size is None:
            raise MalformedChunkError("the size of a chunk is malformed")
        return size

    def read_end(self) -> None:
        """Read the end of a chunk whose content was read."""
        if self._source.readline(len(_LINE_END)) != _LINE_END:
            raise MalformedChunkError("a chunk does not end after its size")

    def discard_trailers(self) -> None:
        """Read what follows the last chunk."""
        for _ in range(MAX_TRAILERS + 1):
            line = self._read_line()
            if not line:
                return
            if read_field(line) is None:
                raise MalformedChunkError("a trailer is no header")
        raise MalformedChunkError(f"there are more than {MAX_TRAILERS} trailers")

    def _read_line(self) -> bytes:
        line = self._source.readline(self._max_line_bytes)
        if not line.endswith(_LINE_END):
            raise MalformedChunkError("a line does not end with CR LF or is too long")
        return line.removesuffix(_LINE_END)
