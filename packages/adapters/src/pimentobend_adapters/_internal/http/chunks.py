"""Read the body of a request whose framing is beyond doubt."""

import errno
from typing import Any

import eventlet.semaphore
import eventlet.wsgi

from pimentobend_adapters._internal.http.chunk_lines import ChunkLines
from pimentobend_adapters._internal.http.chunk_lines import MalformedChunkError

MAX_LINE_BYTES = 4096


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
        self._is_read = eventlet.semaphore.Semaphore()

    def read(self, length: int | None = None) -> bytes:
        """Return up to ``length`` bytes; one task at a time reads.

        The rest of a body is discarded while the task that read it may still wait.
        """
        with self._is_read:
            piece: bytes = super().read(length)
            return piece

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Return up to ``length`` bytes, all of the body without; raise ValueError."""
        try:
            return self._read_chunks(rfile, length)
        except MalformedChunkError as error:
            raise eventlet.wsgi.ChunkReadError(str(error)) from error

    def _read_chunks(self, rfile: Any, length: int | None) -> bytes:
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
            if not self._left_bytes:
                ChunkLines(rfile, MAX_LINE_BYTES).read_end()
        return b"".join(pieces)

    def _begin_chunk(self, rfile: Any) -> None:
        lines = ChunkLines(rfile, MAX_LINE_BYTES)
        self._left_bytes = lines.read_size()
        if not self._left_bytes:
            lines.discard_trailers()
            self._is_ended = True
