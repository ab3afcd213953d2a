"""Read the body of a request whose framing is beyond doubt."""

import errno
import re
from typing import Any

import eventlet.wsgi

MAX_SIZE_LINE_BYTES = 4096
MAX_TRAILER_LINES = 100
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"


class StrictInput(eventlet.wsgi.Input):  # type: ignore[misc]
    """Request body whose chunks have plain sizes and ends.

    The library also takes sizes with signs, underscores or a prefix, and any bytes up
    to a line's end after a chunk. Another reader would see other requests in them.
    """

    def __init__(self, inner: Any, rfile: Any) -> None:
        super().__init__(
            rfile,
            inner.content_length,
            inner.get_socket(),
            wfile=inner.wfile,
            wfile_line=inner.wfile_line,
            chunked_input=inner.chunked_input,
        )
        self._left_bytes = 0  # of the current chunk
        self._is_ended = False

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Return up to ``length`` bytes, all of the body without; raise ValueError."""
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        pieces: list[bytes] = []
        wanted = length if length is not None and length >= 0 else None
        while not self._is_ended and wanted != 0:
            if not self._left_bytes:
                self._begin_chunk(rfile)
                continue
            limit = self._left_bytes if wanted is None else wanted
            piece = rfile.read(min(limit, self._left_bytes))
            if not piece:
                raise OSError(errno.EPROTO, "the connection ended within a chunk")
            pieces.append(piece)
            self._left_bytes -= len(piece)
            wanted = None if wanted is None else wanted - len(piece)
            if not self._left_bytes and rfile.readline(3) != _LINE_END:
                raise eventlet.wsgi.ChunkReadError("a chunk exceeds its size")
        return b"".join(pieces)

    def _begin_chunk(self, rfile: Any) -> None:
        line = rfile.readline(MAX_SIZE_LINE_BYTES)
        size = _SIZE.fullmatch(line)
        if size is None:
            raise eventlet.wsgi.ChunkReadError("the size of a chunk is malformed")
        self._left_bytes = int(size[1], 16)
        if not self._left_bytes:
            self._discard_trailers(rfile)
            self._is_ended = True

    def _discard_trailers(self, rfile: Any) -> None:
        for _ in range(MAX_TRAILER_LINES):
            line = rfile.readline(MAX_SIZE_LINE_BYTES)
            if line == _LINE_END:
                return
            if not line.endswith(_LINE_END):
                break
        raise eventlet.wsgi.ChunkReadError("the trailers are malformed or too long")
