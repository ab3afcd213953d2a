"""Open connections that report a reset as an error, not as an end of file."""

import errno
import http.client
import socket
import struct
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.green.socket
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import NewConnectionError

from pimentobend_adapters._internal.http.chunk_lines import ChunkLines
from pimentobend_adapters._internal.http.framing import settle_framing
from pimentobend_adapters._internal.http.heads import HeadReader
from pimentobend_adapters._internal.http.heads import LineReader
from pimentobend_adapters._internal.http.heads import MalformedHeadError

# With this SO_LINGER value, close() sends a reset and drops unsent data.
_LINGER_NONE = struct.pack("ii", 1, 0)
# Receive calls in a row after which the other tasks of the process may run.
RECEIVES_PER_TURN = 8
INTERIM_STATUSES = range(100, 200)
BODILESS_STATUSES = (204, 304)
VERSION_1_0 = 10  # as ``http.client`` writes it
MAX_INTERIM_ANSWERS = 16
MAX_LINE_BYTES = 65536  # of a chunk's size, or of a trailer


class ResetError(OSError):
    """The peer reset the connection."""


class StrictSocket(GreenSocket):  # type: ignore[misc]
    """Socket that raises ``ResetError`` where eventlet reports an end of file.

    An answer without a length ends when its connection is closed, so a reset
    must not be taken for the end of the answer.
    """

    is_paused = False  # while set, nothing is received
    must_close = False  # no further request may be sent
    _receives = 0

    def _recv_loop(
        self, recv_meth: Callable[..., Any], empty_val: Any, *args: Any
    ) -> Any:
        if self.is_paused:
            raise BlockingIOError(errno.EAGAIN, "receiving is paused")
        self._receives += 1
        if self._receives % RECEIVES_PER_TURN == 0:
            eventlet.sleep(0)  # a receive call with bytes ready does not yield

        def receive(*values: Any) -> Any:
            try:
                return recv_meth(*values)
            except ConnectionResetError as error:
                raise ResetError(errno.EPROTO, "the connection was reset") from error

        return super()._recv_loop(receive, empty_val, *args)


class BoundedAnswer(http.client.HTTPResponse):
    """Answer with a whole head, and a bound on its interim answers and trailers.

    Bytes that came with it, beyond its end, belong to no request: its connection is
    then not used again.
    """

    fp: Any
    chunked: bool
    chunk_left: int | None
    length: int | None
    will_close: bool
    version: int
    _check_close: Callable[[], bool]
    _method: str

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._socket = sock
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
        """Replace the library's own reading of how the body ends."""
        framing = settle_framing(self.headers)
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

    def _close_conn(self) -> None:
        self._socket.is_paused = True
        try:
            if self.fp.peek(1):
                self._socket.must_close = True
        except OSError:
            self._socket.must_close = True
        finally:
            self._socket.is_paused = False
        super()._close_conn()  # type: ignore[misc]


class StrictConnection(HTTPConnection):
    """HTTP connection over a ``StrictSocket``."""

    response_class = BoundedAnswer

    def abort(self) -> None:
        """Close with a reset, so that data in flight is not delivered."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.close()

    def _encode_request(self, request: str) -> bytes:
        """Return a request line with the bytes of its target as they came.

        A target is read as Latin-1, one character a byte. The library takes ASCII only.
        """
        return request.encode("latin-1")

    def _new_conn(self) -> Any:
        """Open the connection; raise urllib3's connection errors."""
        try:
            plain = eventlet.green.socket.create_connection(
                (self.host, self.port), self.timeout
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(
                self, f"connecting to {self.host}:{self.port} timed out"
            ) from error
        except OSError as error:
            raise NewConnectionError(
                self, f"cannot connect to {self.host}:{self.port}: {error}"
            ) from error
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        strict = StrictSocket(plain.fd, set_nonblocking=False)
        # Keep a reference: the descriptor is closed once ``plain`` is collected.
        strict.plain = plain
        return strict
