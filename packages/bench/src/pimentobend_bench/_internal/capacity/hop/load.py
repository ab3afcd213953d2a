"""Open-loop load generator: sends requests when due, however slow the responses."""

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
_RESPONSE_TIMEOUT_S = 5.0
_MAX_IN_FLIGHT = 500


class LoadReport(TypedDict):
    """Latencies of one window in seconds, and the number of failed requests."""

    latencies_s: list[float]
    failed: int


class LoadGenerator:
    """Send an open-loop Poisson stream of requests to one port."""

    def __init__(self, port: int, seed: int) -> None:
        self._port = port
        self._random = random.Random(seed)
        self._idle: list[socket.socket] = []
        self._latencies_s: list[float] = []
        self._failed = 0

    def run(self, rate_per_s: float, seconds: float, warm_up_s: float) -> LoadReport:
        """Send requests and return the latencies of those due after the warm-up.

        A latency is counted from when the request was due, so that it includes any
        delay before it was sent.
        """
        pool = eventlet.greenpool.GreenPool(_MAX_IN_FLIGHT)
        started_at = time.monotonic()
        due_at = started_at
        while due_at < started_at + warm_up_s + seconds:
            eventlet.sleep(max(0.0, due_at - time.monotonic()))
            pool.spawn_n(self._send, due_at, due_at >= started_at + warm_up_s)
            due_at += self._random.expovariate(rate_per_s)
        pool.waitall()
        return LoadReport(latencies_s=self._latencies_s, failed=self._failed)

    def _send(self, due_at: float, is_counted: bool) -> None:
        try:
            with eventlet.Timeout(
                _RESPONSE_TIMEOUT_S,
                OSError(f"no response within {_RESPONSE_TIMEOUT_S:g} s"),
            ):
                self._send_and_receive()
        except OSError:
            self._failed += is_counted
            return
        if is_counted:
            self._latencies_s.append(time.monotonic() - due_at)

    def _send_and_receive(self) -> None:
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = socket.create_connection(("127.0.0.1", self._port))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            connection.sendall(_REQUEST)
            _read_response(connection)
        except BaseException:
            connection.close()
            raise
        self._idle.append(connection)


def _read_response(connection: socket.socket) -> None:
    response = b""
    while _HEAD_END not in response:
        response += _receive(connection)
    head, _, body = response.partition(_HEAD_END)
    if b" 200 " not in head.partition(b"\r\n")[0]:
        raise OSError("response status is not 200")
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
        raise OSError("connection closed before the end of the response")
    return chunk


def main() -> None:
    """Read port, rate, seconds, warm-up and seed, and print the report as JSON."""
    port, rate_per_s, seconds, warm_up_s, seed = sys.argv[1:6]
    generator = LoadGenerator(int(port), int(seed))
    print(
        json.dumps(generator.run(float(rate_per_s), float(seconds), float(warm_up_s)))
    )


if __name__ == "__main__":
    main()
