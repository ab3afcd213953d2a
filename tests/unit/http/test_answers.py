"""Test which bytes of a server count as its answer to a request, for both clients.

A faulty server may send an answer again on a kept connection, late, where the answer
to the next request is expected; the id of the request that it names tells them apart.
"""

import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator

import eventlet
import pytest
from kept_connection import Answer
from kept_connection import Client
from kept_connection import OwnClient
from kept_connection import PlatformClient
from kept_connection import ScriptedServer

from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_core._internal.models.request import AttemptKind

CLIENTS: list[type[Client]] = [PlatformClient, OwnClient]
WAIT_S = 1.0
# Of an answer's head, or of its body before it is streamed, with copies.
MAX_KEPT_BYTES = 2 * 1024 * 1024
FIRST = Answer(request_id="1")

# Name, answer to the second request on a kept connection, how the attempt ends, and
# the number of connections after a third request.
SECOND = [
    ("its own", Answer(request_id="2"), AttemptKind.ANSWERED, 1),
    ("success of another request", Answer(request_id="1"), AttemptKind.TRUNCATED, 2),
    ("success without an id", Answer(), AttemptKind.TRUNCATED, 2),
    ("its own failure", Answer(500, "2"), AttemptKind.ANSWERED, 1),
    ("failure of another request", Answer(500, "1"), AttemptKind.TRUNCATED, 2),
    ("its own refusal", Answer(503, "2", True), AttemptKind.REFUSED, 2),
    (
        "refusal of another request",
        Answer(503, "1", True),
        AttemptKind.TRUNCATED,
        2,
    ),
    ("refusal without an id", Answer(503, "", True), AttemptKind.TRUNCATED, 2),
    (
        "its own, and more bytes",
        Answer(request_id="2", extra=b"more"),
        AttemptKind.ANSWERED,
        2,
    ),
    (
        "its own refusal, and more bytes",
        Answer(503, "2", True, extra=b"more"),
        AttemptKind.REFUSED,
        2,
    ),
]


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("answer", "kind", "connections"),
    [s[1:] for s in SECOND],
    ids=[s[0] for s in SECOND],
)
def test_the_second_answer_on_a_kept_connection(
    answer: Answer,
    kind: AttemptKind,
    connections: int,
    make_client: Callable[[], Client],
) -> None:
    client = make_client()
    third = Answer(request_id="3")
    raw = ScriptedServer([each.encode(client) for each in (FIRST, answer, third)])
    results = []
    for request_id in "123":
        result = client.call(raw.server, request_id, WAIT_S)
        if result.body is not None and result.kind is AttemptKind.ANSWERED:
            assert b"".join(result.body.chunks()) == b"ok"
        results.append(result.kind)
    assert results == [AttemptKind.ANSWERED, kind, AttemptKind.ANSWERED]
    assert raw.connections == connections


@pytest.mark.parametrize("make_client", CLIENTS)
def test_a_refused_request_returns_on_another_connection(
    make_client: Callable[[], Client],
) -> None:
    client = make_client()
    refusal = Answer(503, "2", True).encode(client)
    raw = ScriptedServer([FIRST.encode(client), refusal, refusal])
    kinds = []
    for request_id in "122":
        result = client.call(raw.server, request_id, WAIT_S)
        kinds.append(result.kind)
        if result.kind is AttemptKind.ANSWERED and result.body is not None:
            assert b"".join(result.body.chunks()) == b"ok"
    refused = AttemptKind.REFUSED
    assert kinds == [AttemptKind.ANSWERED, refused, refused]
    # On the same connection, the server's copy of the refusal would be believed.
    assert raw.connections == 2


# Name, answer to the only request on a new connection, and how the attempt ends.
ALONE = [
    ("success without an id", Answer(), AttemptKind.ANSWERED),
    ("failure without an id", Answer(500), AttemptKind.ANSWERED),
    ("refusal without an id", Answer(503, "", True), AttemptKind.TRUNCATED),
    ("refusal of another request", Answer(503, "9", True), AttemptKind.TRUNCATED),
]


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("answer", "kind"), [a[1:] for a in ALONE], ids=[a[0] for a in ALONE]
)
def test_the_first_answer_on_a_connection(
    answer: Answer, kind: AttemptKind, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    second = Answer(request_id="2")
    raw = ScriptedServer([each.encode(client) for each in (answer, second)])
    result = client.call(raw.server, "1", WAIT_S)
    assert result.kind is kind
    if result.body is not None:
        b"".join(result.body.chunks())
    client.call(raw.server, "2", WAIT_S)
    assert raw.connections == 2, "an answer without an id ends its connection"


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nStamp: s\r\n"


def _endless(start: bytes, more: bytes) -> Callable[[], bytes]:
    pieces: Iterator[bytes] = iter((start,))
    return lambda: next(pieces, more)


# Name, first bytes (ID stands for the id header), and what follows without end.
ENDLESS = [
    ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    ("one header line", b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4096),
    ("header lines", b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
    ("long lines", b"HTTP/1.1 200 OK\r\n", b"X: " + b"y" * 65000 + b"\r\n"),
    ("long interim lines", b"", b"HTTP/1.1 100 OK\r\nX: " + b"y" * 65000 + b"\r\n\r\n"),
    ("chunk size", CHUNKED + b"ID: 1\r\n\r\n", b"0" * 4096),
    ("trailers", CHUNKED + b"ID: 1\r\n\r\n0\r\n", b"X: y\r\n" * 500),
    ("empty-looking chunks", CHUNKED + b"ID: 1\r\n\r\n", b"1\r\nx\r\n" * 500),
    (
        "body without a length",
        b"HTTP/1.1 200 OK\r\nStamp: s\r\nID: 1\r\n\r\n",
        b"x" * 65536,
    ),
]


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("start", "more"), [e[1:] for e in ENDLESS], ids=[e[0] for e in ENDLESS]
)
def test_bytes_without_end_stop_by_the_deadline_and_are_no_answer(
    start: bytes, more: bytes, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    start = start.replace(b"ID: ", f"{client.id_header}: ".encode())
    raw = ScriptedServer([_endless(start, more)])
    beside: list[float] = []
    other = eventlet.spawn(_count_wakes, beside)
    with eventlet.Timeout(WAIT_S * 4):
        try:
            result = client.call(raw.server, "1", WAIT_S)
        except eventlet.Timeout:
            result = None  # as the host of the platform's path ends a call
        if result is not None and result.body is not None:
            with pytest.raises(AnswerTruncatedError):
                for _ in result.body.chunks():
                    pass
        elif result is not None:
            assert result.kind in (AttemptKind.NO_ANSWER, AttemptKind.TRUNCATED)
    other.kill()
    if result is None:
        assert len(beside) > 10, "other tasks must run meanwhile"


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("start", "more"), [e[1:] for e in ENDLESS], ids=[e[0] for e in ENDLESS]
)
def test_bytes_without_end_are_not_kept(
    start: bytes, more: bytes, make_client: Callable[[], Client]
) -> None:
    """A head of lines that were each short enough took 6 MB of its reader."""
    client = make_client()
    start = start.replace(b"ID: ", f"{client.id_header}: ".encode())
    raw = ScriptedServer([_endless(start, more)])
    tracemalloc.start()
    try:
        with eventlet.Timeout(WAIT_S * 4, False):
            result = client.call(raw.server, "1", WAIT_S)
            if result.body is not None:
                with pytest.raises(AnswerTruncatedError):
                    for _ in result.body.chunks():
                        pass
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_KEPT_BYTES


def _count_wakes(wakes: list[float]) -> None:
    while True:
        eventlet.sleep(0.01)
        wakes.append(0.0)


@pytest.mark.parametrize("make_client", CLIENTS)
def test_other_tasks_run_while_a_server_always_has_bytes_ready(
    make_client: Callable[[], Client],
) -> None:
    client = make_client()
    head = f"HTTP/1.1 200 OK\r\nStamp: s\r\n{client.id_header}: 1\r\n\r\n"
    raw = ScriptedServer([_endless(head.encode(), b"x" * 65536)])
    wakes: list[float] = []
    other = eventlet.spawn(_count_wakes, wakes)
    result = client.call(raw.server, "1", WAIT_S)
    assert result.body is not None
    with eventlet.Timeout(WAIT_S * 4), pytest.raises(AnswerTruncatedError):
        for _ in result.body.chunks():
            pass
    other.kill()
    assert len(wakes) > 10


@pytest.mark.parametrize("make_client", CLIENTS)
def test_a_slow_reader_bounds_what_is_read_from_the_server(
    make_client: Callable[[], Client],
) -> None:
    client = make_client()
    head = f"HTTP/1.1 200 OK\r\nStamp: s\r\n{client.id_header}: 1\r\n\r\n"
    raw = ScriptedServer([_endless(head.encode(), b"x" * 65536)])
    result = client.call(raw.server, "1", WAIT_S)
    assert result.body is not None
    chunks = result.body.chunks()
    next(chunks)
    eventlet.sleep(0.3)
    sent_bytes = raw.sent_bytes
    eventlet.sleep(0.3)
    assert raw.sent_bytes == sent_bytes, "the server must be held back"
    result.body.close()
