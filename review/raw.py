"""Read several HTTP answers from one connection, as they come."""

import socket
import time
from typing import NamedTuple


class RawAnswer(NamedTuple):
    """One answer on a connection."""

    status: int
    headers: dict[str, str]
    body: bytes


class RawConnection:
    """A client's connection on which bytes are sent as they are given."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), 1.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = b""

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    def read_answers(self, limit_s: float) -> list[RawAnswer]:
        """Return the answers that come within ``limit_s``."""
        deadline = time.monotonic() + limit_s
        answers: list[RawAnswer] = []
        while (left_s := deadline - time.monotonic()) > 0:
            self._socket.settimeout(left_s)
            try:
                data = self._socket.recv(65536)
            except OSError:
                break
            self._received += data
            while (answer := self._take_answer()) is not None:
                answers.append(answer)
            if not data:
                break
        return answers

    def close(self) -> None:
        self._socket.close()

    def _take_answer(self) -> RawAnswer | None:
        head, end, rest = self._received.partition(b"\r\n\r\n")
        if not end:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return None
        self._received = rest[length:]
        return RawAnswer(int(first.split()[1]), headers, rest[:length])
