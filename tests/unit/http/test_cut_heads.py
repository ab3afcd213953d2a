"""Test answers that end within their head, at every byte, for both clients.

A server that stops in its answer's head and closes leaves lines that look like a whole
head to a reader that takes the end of the connection for the end of the head. The
caller then got a 200 with an empty or a short body, framed as whole.
"""

from collections.abc import Callable

import eventlet
import pytest
from kept_connection import Broken
from kept_connection import Client
from kept_connection import Ending
from kept_connection import OwnClient
from kept_connection import PlatformClient
from kept_connection import ScriptedServer
from peer_calls import run_at_peer

from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_core._internal.models.request import AttemptKind

CLIENTS: list[type[Client]] = [PlatformClient, OwnClient]
WAIT_S = 2.0
BODY = b"hello, world"
NO_ANSWER = (AttemptKind.NO_ANSWER, AttemptKind.TRUNCATED)

LENGTH = b"HTTP/1.1 200 OK\r\nStamp: s\r\nID: 1\r\nContent-Length: 12\r\n\r\n"
LENGTH_FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nStamp: s\r\nID: 1\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nStamp: s\r\nID: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nStamp: s\r\nID: 1\r\nConnection: close\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nID: 1\r\nREFUSED\r\nContent-Length: 0\r\n\r\n"
EMPTY = b"HTTP/1.1 204 Done\r\nStamp: s\r\nID: 1\r\nX: y\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nContent-Length: 0\r\n\r\n"

HEADS = [
    ("length", LENGTH),
    ("length before the id", LENGTH_FIRST),
    ("chunked", CHUNKED),
    ("until close", UNTIL_CLOSE),
    ("refusal", REFUSAL),
    ("no body", EMPTY),
    ("after 100", CONTINUE + LENGTH),
    ("after 103", HINTS + LENGTH),
    ("bare line feeds", LENGTH.replace(b"\r\n", b"\n")),
]


def _encode(answer: bytes, client: Client) -> bytes:
    answer = answer.replace(b"ID: ", f"{client.id_header}: ".encode())
    return answer.replace(b"REFUSED", client.refusal_header.encode())


def _outcome(client: Client, raw: ScriptedServer) -> object:
    """Return how a call ends: its kind, or the body that was passed on as whole."""
    result = client.call(raw.server, "1", WAIT_S)
    if result.body is None:
        return result.kind
    try:
        return result.status, b"".join(result.body.chunks())
    except AnswerTruncatedError:
        return AttemptKind.TRUNCATED


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("head", [h[1] for h in HEADS], ids=[h[0] for h in HEADS])
def test_an_answer_that_ends_within_its_head_is_none(
    head: bytes, ending: Ending, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    head = _encode(head, client)
    cuts = [head[:length] for length in range(len(head))]
    raw = ScriptedServer([Broken(cut, ending) for cut in cuts])
    outcomes = [(cut, _outcome(client, raw)) for cut in cuts]
    assert [each for each in outcomes if each[1] not in NO_ANSWER] == []
    assert raw.connections == len(cuts), "no connection carries another request"
    expected = len(cuts) * (1 + client.probes)
    with eventlet.Timeout(WAIT_S, False):
        while raw.accepted < expected:  # the last probe may not be accepted yet
            eventlet.sleep(0.01)
    assert raw.accepted == expected


# Name, bytes before the body ends, and whether they are a whole answer.
BODIES = [
    ("whole, length", LENGTH + BODY, True),
    ("short, length", LENGTH + BODY[:-1], False),
    ("whole, until close", UNTIL_CLOSE + BODY, True),
    ("whole, chunked", CHUNKED + b"c\r\n" + BODY + b"\r\n0\r\n\r\n", True),
    ("whole, after 103", HINTS + LENGTH + BODY, True),
    ("whole, after 100", CONTINUE + LENGTH + BODY, True),
    (
        "whole, a type that says more of its parts",
        LENGTH.replace(b"Stamp", b"Content-Type: multipart/mixed\r\nStamp") + BODY,
        True,
    ),
    (
        "whole, parts with an encoding",
        LENGTH.replace(
            b"Stamp",
            b"Content-Type: multipart/mixed; boundary=b\r\n"
            b"Content-Transfer-Encoding: base64\r\nStamp",
        )
        + BODY,
        True,
    ),
    (
        "whole, a message",
        LENGTH.replace(b"Stamp", b"Content-Type: message/rfc822\r\nStamp") + BODY,
        True,
    ),
    ("whole, spaces", LENGTH.replace(b" 12", b"  12 ") + BODY, True),
    (
        "a line without a name",
        LENGTH.replace(b"Stamp: s", b"Stamp: s\r\n: x") + BODY,
        False,
    ),
    (
        "a first line that continues another",
        LENGTH.replace(b"OK\r\nStamp", b"OK\r\n more\r\nStamp") + BODY,
        False,
    ),
    ("no last chunk", CHUNKED + b"c\r\n" + BODY + b"\r\n", False),
    ("in a later chunk's size", CHUNKED + b"c\r\n" + BODY + b"\r\n0", False),
    ("in an extension", CHUNKED + b"c\r\n" + BODY + b"\r\n0;x", False),
    ("in the first chunk's size", CHUNKED + b"0", False),
    ("a length that is no number", LENGTH.replace(b"12", b"1x") + BODY, False),
    ("a length below 0", LENGTH.replace(b"12", b"-1") + BODY, False),
    ("a length with a sign", LENGTH.replace(b"12", b"+1") + BODY, False),
    (
        "a length with thousands of digits",
        LENGTH.replace(b"12", b"9" * 5000) + BODY,
        False,
    ),
    ("two lengths", LENGTH.replace(b"12\r\n", b"12\r\nContent-Length: 5\r\n"), False),
    (
        "a head that begins again within itself",
        b"HTTP/1.1 200 OK\r\nContent-Le" + UNTIL_CLOSE + BODY,
        False,
    ),
]


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("answer", "is_whole"), [b[1:] for b in BODIES], ids=[b[0] for b in BODIES]
)
def test_only_a_whole_answer_ends_as_one(
    answer: bytes, is_whole: bool, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    raw = ScriptedServer([Broken(_encode(answer, client), Ending.CLOSE)])
    outcome = _outcome(client, raw)
    if is_whole:
        assert outcome == (200, BODY)
    else:
        assert outcome in NO_ANSWER


HOP_RESULT = b'Pimentobend-Hop-Result: ["answered",""]\r\n'
HOP_HEADS = [
    ("result first", b"HTTP/1.1 200 OK\r\n" + HOP_RESULT + LENGTH.partition(b"\n")[2]),
    ("result last", LENGTH[:-2] + HOP_RESULT + b"\r\n"),
]


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("head", [h[1] for h in HOP_HEADS], ids=["first", "last"])
def test_a_daemon_asks_again_for_an_answer_that_ended_within_its_head(
    head: bytes, ending: Ending
) -> None:
    def ask(cut: bytes) -> tuple[bytes, tuple[int, bytes], int]:
        raw = ScriptedServer([Broken(cut, ending), head + BODY])
        return cut, run_at_peer(raw, WAIT_S), raw.connections

    cuts = [head[:length] for length in range(len(head))]
    outcomes = list(eventlet.GreenPool().imap(ask, cuts))
    assert [each for each in outcomes if each[1:] != ((200, BODY), 2)] == []
