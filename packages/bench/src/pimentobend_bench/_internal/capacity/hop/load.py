"""Send requests at the moments they are due, whatever the answers do."""

import json
import random
import sys
import time
from typing import TypedDict

import eventlet
import eventlet.greenpool
from eventlet.green import socket

_REQUEST = (
    b"GET /v1/hop HTTP/1.1\r\nHost: hop.example\r\n"
    b"Pimentobend-Organisation: bench\r\n\r\n"
)
_HEAD_END = b"\r\n\r\n"
_LENGTH = b"content-length:"
_ANSWER_TIMEOUT_S = 5.0
_MAX_IN_FLIGHT = 500


class LoadReport(TypedDict):
    """Spell the latencies of one window in seconds, and the failures."""

    latencies_s: list[float]
    failed: int


class LoadGenerator:
    """Own the connections to one port and send an open loop of requests."""

    def __init__(self, port: int, seed: int) -> None:
        self._port = port
        self._random = random.Random(seed)
        self._idle: list[socket.socket] = []
        self._latencies_s: list[float] = []
        self._failed = 0

    def run(self, rate_per_s: float, seconds: float, warm_up_s: float) -> LoadReport:
        """Return the latencies of the requests due after the warm-up."""
        pool = eventlet.greenpool.GreenPool(_MAX_IN_FLIGHT)
        started = time.monotonic()
        due = started
        while due < started + warm_up_s + seconds:
            eventlet.sleep(max(0.0, due - time.monotonic()))
            pool.spawn_n(self._send, due, due >= started + warm_up_s)
            due += self._random.expovariate(rate_per_s)
        pool.waitall()
        return LoadReport(latencies_s=self._latencies_s, failed=self._failed)

    def _send(self, due: float, is_counted: bool) -> None:
        try:
            with eventlet.Timeout(_ANSWER_TIMEOUT_S, OSError("no answer in time")):
                self._exchange()
        except OSError:
            self._failed += is_counted
            return
        if is_counted:
            self._latencies_s.append(time.monotonic() - due)

    def _exchange(self) -> None:
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = socket.create_connection(("127.0.0.1", self._port))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            connection.sendall(_REQUEST)
            _read_answer(connection)
        except BaseException:
            connection.close()
            raise
        self._idle.append(connection)


def _read_answer(connection: socket.socket) -> None:
    answer = b""
    while _HEAD_END not in answer:
        answer += _receive(connection)
    head, _, body = answer.partition(_HEAD_END)
    if b" 200 " not in head.partition(b"\r\n")[0]:
        raise OSError("the answer is not 200")
    length = next(
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(_LENGTH)
    )
    while len(body) < length:
        body += _receive(connection)


def _receive(connection: socket.socket) -> bytes:
    chunk: bytes = connection.recv(65_536)
    if not chunk:
        raise OSError("the connection was closed")
    return chunk


def main() -> None:
    """Take port, rate, seconds, warm-up and seed, and print the report."""
    port, rate_per_s, seconds, warm_up_s, seed = sys.argv[1:6]
    generator = LoadGenerator(int(port), int(seed))
    print(
        json.dumps(generator.run(float(rate_per_s), float(seconds), float(warm_up_s)))
    )


if __name__ == "__main__":
    main()
