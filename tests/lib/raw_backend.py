"""Serve prepared bytes as a backend server, and remember what came."""

import contextlib
import socket
import threading

RECEIVE_BYTES = 65536
IDLE_TIMEOUT_S = 5.0


class RawBackend:
    """Answer each request by the last segment of its path."""

    def __init__(self, answers: dict[str, bytes]) -> None:
        self._answers = answers
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.requests: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that it serves on."""
        port: int = self._listener.getsockname()[1]
        return port

    def close(self) -> None:
        """Take no more connections."""
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
            head = b""
            while b"\r\n\r\n" not in head:
                piece = connection.recv(RECEIVE_BYTES)
                if not piece:
                    return
                head += piece
            self.requests.append(head)
            name = head.split(b" ")[1].rpartition(b"/")[2].decode()
            connection.sendall(self._answers[name])


def exchange(address: str, request: bytes, timeout_s: float = 5.0) -> bytes:
    """Send raw bytes and return all that comes back until the end."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as connection:
        answer = b""
        # A server that refuses early may reset the connection.
        with contextlib.suppress(OSError):
            connection.sendall(request)
            connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while piece := connection.recv(RECEIVE_BYTES):
                answer += piece
        return answer
