"""Backend server that sends canned raw bytes and records what it received."""

import contextlib
import re
import socket
import threading

RECEIVE_BYTES = 65536
IDLE_TIMEOUT_S = 5.0
ECHO = b"{request-id}"
ID_PATTERN = re.compile(rb"\r\nPimentobend-Request-Id: *([^\r]*)\r\n", re.IGNORECASE)


class RawBackend:
    """Answers each request with the bytes that are given for its last path segment.

    The bytes may hold ``ECHO``, which becomes the id of the request.
    """

    def __init__(self, responses: dict[str, bytes]) -> None:
        self._responses = responses
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.requests: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that the backend listens on."""
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
            received = b""
            while b"\r\n\r\n" not in received:
                chunk = connection.recv(RECEIVE_BYTES)
                if not chunk:
                    return
                received += chunk
            self.requests.append(received)
            name = received.split(b" ")[1].rpartition(b"/")[2].decode()
            found = ID_PATTERN.search(received)
            request_id = found.group(1) if found else b""
            connection.sendall(self._responses[name].replace(ECHO, request_id))


def exchange(address: str, request: bytes, timeout_s: float = 5.0) -> bytes:
    """Send raw bytes and return all bytes received until the peer closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as connection:
        response = b""
        # A server that rejects a request early may reset the connection.
        with contextlib.suppress(OSError):
            connection.sendall(request)
            connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while chunk := connection.recv(RECEIVE_BYTES):
                response += chunk
        return response
