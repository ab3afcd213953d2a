"""HTTP connection that only the daemon closes."""

import enum
import http.client
import socket
import time
from typing import NamedTuple

from platform_process import Answer

CONNECT_TIMEOUT_S = 1.0


class Failure(enum.Enum):
    """Step at which a request ended without a complete answer."""

    NONE = "none"
    CONNECT = "connect"
    SEND = "send"
    CLOSED = "closed"  # the connection ended before the answer was complete
    TIMEOUT = "timeout"


class Exchange(NamedTuple):
    """Result of sending a request; the answer's status is 0 after a failure."""

    answer: Answer
    failure: Failure
    sent_at: float | None  # when its last byte was sent, by the monotonic clock


class LastingConnection:
    """Send requests one after another and reconnect only once it has failed.

    It goes on after a ``Connection: close``, as a client does whose next request
    crosses the answer with it.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._timeout_s = timeout_s
        self._socket: socket.socket | None = None

    def send(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Exchange:
        """Send one request and read its answer."""
        failure, sent_at = Failure.CONNECT, None
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        try:
            if self._socket is None:
                self._socket = self._connect()
            failure = Failure.SEND
            self._socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            failure, sent_at = Failure.CLOSED, time.monotonic()
            response = http.client.HTTPResponse(self._socket, method=method)
            response.begin()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            if isinstance(error, TimeoutError) and failure is Failure.CLOSED:
                failure = Failure.TIMEOUT
            return Exchange(Answer(0, {}, b""), failure, sent_at)
        found = {name.lower(): value for name, value in response.getheaders()}
        return Exchange(Answer(response.status, found, content), Failure.NONE, sent_at)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _connect(self) -> socket.socket:
        opened = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
        opened.settimeout(self._timeout_s)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return opened
