"""Backend server that answers each request with bytes without end."""

import contextlib
import socket
import threading

RECEIVE_BYTES = 65536
IDLE_TIMEOUT_S = 5.0
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


class EndlessServer:
    """Sends ``start``, then ``more`` again and again until the caller closes."""

    def __init__(self, start: bytes, more: bytes) -> None:
        self._start = start
        self._more = more
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        port: int = self._listener.getsockname()[1]
        return port

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                connection.settimeout(IDLE_TIMEOUT_S)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            if not connection.recv(RECEIVE_BYTES):
                return
            self.requests += 1
            connection.sendall(self._start)
            while True:
                connection.sendall(self._more)
