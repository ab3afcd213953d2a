"""Test requests that end within their head or body, at every byte.

A caller or a daemon that stops in its request's head and closes leaves lines that look
like a whole request without a body. A server then ran something that nobody had sent.
"""

import socket
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import eventlet
import pytest

from pimentobend_adapters._internal.http.bodies import read_body
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.requests import get_content_length
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer

WAIT_S = 2.0
RECEIVE_BYTES = 65536
START = b"POST /x HTTP/1.1\r\nHost: h\r\n"
LENGTH = START + b"Content-Length: 12\r\nX: y\r\n\r\nhello, world"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n"


class Recorder:
    """Application that records the bodies of the requests that it takes for whole."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self._server = HttpServer(Address("127.0.0.1", 0), self)
        self._server.start()

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        try:
            body = read_body(environ["wsgi.input"], get_content_length(environ))
        except IncompleteBodyError:
            start_response("400 Bad Request", [("Content-Length", "0")])
            return [b""]
        self.bodies.append(b"".join(body.chunks()))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def exchange(self, request: bytes) -> bytes:
        """Send bytes and their end; return all that comes back."""
        with eventlet.Timeout(WAIT_S):
            return b"".join(self._exchange(request))

    def _exchange(self, request: bytes) -> Iterator[bytes]:
        connection = eventlet.connect(tuple(self._server.address))
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        while piece := connection.recv(RECEIVE_BYTES):
            yield piece
        connection.close()


@pytest.mark.parametrize(
    "request_bytes", [LENGTH, CHUNKED], ids=["with a length", "chunked"]
)
def test_a_request_that_ends_before_its_end_is_not_run(request_bytes: bytes) -> None:
    recorder = Recorder()
    taken = []
    for length in range(len(request_bytes)):
        answer = recorder.exchange(request_bytes[:length])
        if answer.startswith(b"HTTP/1.1 2") or recorder.bodies:
            taken.append((request_bytes[:length], list(recorder.bodies)))
            recorder.bodies.clear()
    assert taken == []
    assert recorder.exchange(request_bytes).startswith(b"HTTP/1.1 200 ")
    assert recorder.bodies == [b"hello, world"]


MALFORMED = [
    ("a line that is no header", START + b"garbage\r\nContent-Length: 2\r\n\r\nok"),
    ("two lengths", START + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nok"),
    ("a length with a sign", START + b"Content-Length: +2\r\n\r\nok"),
    (
        "a length with thousands of digits",
        START + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nok",
    ),
]


@pytest.mark.parametrize(
    "request_bytes", [m[1] for m in MALFORMED], ids=[m[0] for m in MALFORMED]
)
def test_a_head_that_cannot_be_read_is_refused(request_bytes: bytes) -> None:
    recorder = Recorder()
    answer = recorder.exchange(request_bytes)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"\r\nPimentobend-Ran: not-run\r\n" in answer
    assert recorder.bodies == []
