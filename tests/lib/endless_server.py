"""Backend server that answers each request with bytes without end."""

import contextlib
import socket

from raw_backend import RECEIVE_BYTES
from raw_backend import RawBackend

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
# First bytes, and those that follow until the caller closes.
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "no line": (b"", b"\x00" * 65536),
    "one header line": (_OK + b"X: ", b"x" * 65536),
    "long header lines": (_OK, b"X: " + b"x" * 65000 + b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "chunk size": (_CHUNKED, b"0" * 65536),
    "chunks": (_CHUNKED, b"ffff\r\n" + b"x" * 65535 + b"\r\n"),
    "trailers": (_CHUNKED + b"0\r\n", b"X: " + b"x" * 65000 + b"\r\n"),
    "body without a length": (_OK + b"\r\n", b"x" * 65536),
    "body with a huge length": (
        _OK + b"Content-Length: 99999999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "after an answer": (_OK + b"Content-Length: 2\r\n\r\nok", b"x" * 65536),
}


class EndlessServer(RawBackend):
    """Sends ``start``, then ``more`` again and again until the caller closes."""

    def __init__(self, start: bytes, more: bytes) -> None:
        self._start = start
        self._more = more
        super().__init__({})

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            received = connection.recv(RECEIVE_BYTES)
            if not received:
                return
            self.requests.append(received)
            connection.sendall(self._start)
            while True:
                connection.sendall(self._more)
