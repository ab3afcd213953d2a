"""Send requests and answers whose framing is in doubt, with another request inside.

A daemon refused such a request, kept its connection, and ran the body as a request that
nobody had sent.
"""

from collections.abc import Callable

import eventlet
import pytest
from kept_connection import Client
from kept_connection import OwnClient
from kept_connection import PlatformClient
from kept_connection import ScriptedServer
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.front import FrontOptions
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received

WAIT_S = 2.0
RECEIVE_BYTES = 65536
INNER = b"POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(INNER)
CHUNK = b"%x\r\n%s\r\n0\r\n\r\n" % (len(INNER), INNER)
DOUBTFUL_HEADERS = [  # name, and headers that leave the end of a message open
    ("identity", b"Transfer-Encoding: identity\r\n"),
    ("gzip", b"Transfer-Encoding: gzip\r\n"),
    ("gzip and chunked", b"Transfer-Encoding: gzip, chunked\r\n"),
    ("chunked twice", b"Transfer-Encoding: chunked\r\n" * 2),
    ("chunked, chunked", b"Transfer-Encoding: chunked, chunked\r\n"),
    ("chunked and VT", b"Transfer-Encoding: chunked\x0b\r\n"),
    ("FF and chunked", b"Transfer-Encoding: \x0cchunked\r\n"),
    ("chunked and NBSP", b"Transfer-Encoding: chunked\xa0\r\n"),
    ("no coding", b"Transfer-Encoding:\r\n"),
    ("chunked and a length", b"Transfer-Encoding: chunked\r\n" + LENGTH),
    ("two lengths", b"Content-Length: 0\r\n" + LENGTH),
    ("a length and VT", b"Content-Length: 0\x0b\r\n"),
    ("a length and NBSP", b"Content-Length: 0\xa0\r\n"),
    ("a length without digits", b"Content-Length: \t\r\n"),
    ("a length with a sign", b"Content-Length: +0\r\n"),
    ("space before the colon", b"Transfer-Encoding : chunked\r\n"),
    ("continued line", b"X: y\r\n Transfer-Encoding: chunked\r\n"),
    ("bare CR", b"X: y\rTransfer-Encoding: chunked\r\n"),
    ("NUL", b"X: y\0Transfer-Encoding: chunked\r\n"),
]
BARE_LF = ("bare LF", b"X: y\nContent-Length: 0\r\n")
DOUBTFUL_CHUNKS = [  # name, and a chunk that other readers may read otherwise
    ("a size with a sign", b"+%x\r\n%s\r\n" % (len(INNER), INNER)),
    ("a size with a prefix", b"0x%x\r\n%s\r\n" % (len(INNER), INNER)),
    ("a size with an underscore", b"0_%x\r\n%s\r\n" % (len(INNER), INNER)),
    ("a size and VT", b"%x\x0b\r\n%s\r\n" % (len(INNER), INNER)),
    ("a control byte in an extension", b"%x;a=\x01\r\n%s\r\n" % (len(INNER), INNER)),
    ("a trailer that is no header", b"1\r\nx\r\n0\r\nA b: c\r\n\r\n" + INNER),
    ("no size", b"zz\r\n%s\r\n" % INNER),
    ("bytes after a chunk", b"1\r\nx%s\r\n0\r\n\r\n" % INNER),
    ("a bare LF after the size", b"1\nx\r\n0\r\n\r\n%s" % INNER),
]


class Recorder(Filter[Received, Finished]):
    """Refuses each request that it gets, after its body was read."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        front = CallerFront(self, HubClock(), Discard(), FrontOptions())
        self.server = HttpServer(Address("127.0.0.1", 0), front)
        self.server.start()

    def apply(self, value: Received) -> Result[Finished, Refusal]:
        for _ in value.body.chunks():
            pass
        self.paths.append(value.head.path)
        return Failure(Refusal(503, Ran.NOT_RUN, RefusalReason.DRAINING, "refused"))

    def exchange(self, request: bytes) -> bytes:
        """Send bytes; return all that comes back until the connection is closed."""
        connection = eventlet.connect(tuple(self.server.address))
        connection.sendall(request)
        received = b""
        with eventlet.Timeout(WAIT_S, False):
            while piece := connection.recv(RECEIVE_BYTES):
                received += piece
            received += b"(closed)"
        connection.close()
        return received


@pytest.mark.parametrize(
    "headers",
    [d[1] for d in [*DOUBTFUL_HEADERS, BARE_LF]],
    ids=[d[0] for d in [*DOUBTFUL_HEADERS, BARE_LF]],
)
@pytest.mark.parametrize("body", [INNER, CHUNK], ids=["plain", "in a chunk"])
def test_a_request_inside_a_doubtful_one_is_not_run(
    headers: bytes, body: bytes
) -> None:
    recorder = Recorder()
    start = b"POST /outer HTTP/1.1\r\nHost: h\r\n"
    answer = recorder.exchange(start + headers + b"\r\n" + body)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"\r\nPimentobend-Ran: not-run\r\n" in answer
    assert answer.endswith(b"(closed)")
    assert recorder.paths == []


@pytest.mark.parametrize(
    "chunk", [d[1] for d in DOUBTFUL_CHUNKS], ids=[d[0] for d in DOUBTFUL_CHUNKS]
)
def test_a_request_with_a_doubtful_chunk_is_not_run(chunk: bytes) -> None:
    recorder = Recorder()
    start = b"POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = recorder.exchange(start + chunk)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert answer.endswith(b"(closed)")
    assert recorder.paths == []


WHOLE = [
    ("a length", LENGTH + b"\r\n" + INNER),
    ("a length with zeros", b"content-length:\t000%d \r\n\r\n" % len(INNER) + INNER),
    ("equal lengths", LENGTH + LENGTH + b"\r\n" + INNER),
    ("blanks around chunked", b"Transfer-Encoding: \t chunked \t\r\n\r\n" + CHUNK),
    ("an empty value", b"X:\r\n" + LENGTH + b"\r\n" + INNER),
    ("chunked", b"Transfer-Encoding: Chunked\r\n\r\n" + CHUNK),
    ("chunk extension", b"Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n"),
    (
        "quoted extension",
        b'Transfer-Encoding: chunked\r\n\r\n01 ; a = "b;\\"" ;c\r\nx\r\n0\r\n\r\n',
    ),
    ("trailer", b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: y\r\n\r\n"),
]


@pytest.mark.parametrize("rest", [w[1] for w in WHOLE], ids=[w[0] for w in WHOLE])
def test_requests_that_are_framed_well_are_taken_one_by_one(rest: bytes) -> None:
    recorder = Recorder()
    start = b"POST /%s HTTP/1.1\r\nHost: h\r\n"
    recorder.exchange(start % b"1" + rest + start % b"2" + rest)
    assert recorder.paths == ["/1", "/2"]


@pytest.mark.parametrize("make_client", [PlatformClient, OwnClient])
@pytest.mark.parametrize(
    "headers",
    [d[1] for d in DOUBTFUL_HEADERS],
    ids=[d[0] for d in DOUBTFUL_HEADERS],
)
def test_an_answer_whose_end_is_in_doubt_is_none(
    headers: bytes, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    start = f"HTTP/1.1 200 OK\r\nStamp: s\r\n{client.id_header}: 1\r\n".encode()
    raw = ScriptedServer([start + headers + b"\r\n" + CHUNK])
    with eventlet.Timeout(2 * WAIT_S):
        result = client.call(raw.server, "1", WAIT_S)
    assert result.kind in (AttemptKind.NO_ANSWER, AttemptKind.TRUNCATED)
