"""Test answers that break the grammar of HTTP, for all readers of answers.

A check took ``Transfer-Encoding: chunked`` with a vertical tab for chunked and the
reader did not, so that the caller got the framing of the chunks as the body.
"""

from collections.abc import Callable

import pytest
from answer_table import BODY
from answer_table import LENGTH
from answer_table import MALFORMED_CHUNKS
from answer_table import MALFORMED_HEADS
from answer_table import TRUNCATED_TRAILERS
from answer_table import VALID
from answer_table import AnswerCase
from kept_connection import Broken
from kept_connection import Client
from kept_connection import Ending
from kept_connection import OwnClient
from kept_connection import PlatformClient
from kept_connection import ScriptedServer
from kept_connection import Step
from peer_calls import run_at_peer

from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_adapters._internal.forwarding.host import _end_kind
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.models.request import AttemptKind

CLIENTS: list[type[Client]] = [PlatformClient, OwnClient]
WAIT_S = 2.0
CLOSED = "closed"
OPEN = "open"
HOP_HEADERS = b'Pimentobend-Hop-Result: ["answered",""]\r\n'


def _name(case: object) -> str | None:
    return case.name if isinstance(case, AnswerCase) else None


def _encode(client: Client, case: AnswerCase, request_id: str = "1") -> bytes:
    return case.encode(f"Stamp: s\r\n{client.id_header}: {request_id}\r\n".encode())


def _step(answer: bytes, end: str) -> Step:
    return Broken(answer, Ending.CLOSE) if end == CLOSED else answer


def _call(client: Client, raw: ScriptedServer, request_id: str = "1") -> object:
    """Return the body of an answer, or how the attempt ended without a whole one."""
    result = client.call(raw.server, request_id, WAIT_S)
    if result.body is None:
        return result.kind
    try:
        return b"".join(result.body.chunks())
    except AnswerTruncatedError:
        return AttemptKind.TRUNCATED


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("end", [CLOSED, OPEN])
@pytest.mark.parametrize("case", MALFORMED_HEADS, ids=_name)
def test_a_malformed_head_is_no_answer(
    case: AnswerCase, end: str, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    valid = _encode(client, AnswerCase("valid"), "2")
    raw = ScriptedServer([_step(_encode(client, case), end), valid])
    result = client.call(raw.server, "1", WAIT_S)
    assert (result.kind, result.status) == (AttemptKind.NO_ANSWER, 0)
    assert result.latency_s < WAIT_S, "the rest of the deadline must be left"
    assert _call(client, raw, "2") == BODY
    assert raw.connections == 2, "the next request needs a new connection"


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize(
    ("case", "end"),
    [
        *((case, CLOSED) for case in [*MALFORMED_CHUNKS, *TRUNCATED_TRAILERS]),
        *((case, OPEN) for case in MALFORMED_CHUNKS),
    ],
    ids=_name,
)
def test_a_malformed_body_is_not_whole(
    case: AnswerCase, end: str, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    valid = _encode(client, AnswerCase("valid"), "2")
    raw = ScriptedServer([_step(_encode(client, case), end), valid])
    outcome = _call(client, raw)
    assert outcome in (AttemptKind.NO_ANSWER, AttemptKind.TRUNCATED)
    assert _call(client, raw, "2") == BODY
    assert raw.connections == 2, "the next request needs a new connection"


INTERIM = b"HTTP/1.1 103 X\r\n\r\n"
OVERLONG = [
    AnswerCase("too many interim answers", first=INTERIM * 20),
    AnswerCase("too many headers", b"Name: x\r\n" * 120 + LENGTH),
    AnswerCase("a head too large", b"Name: %s\r\n" % (b"x" * 1000) * 70 + LENGTH),
]


@pytest.mark.parametrize(
    "case", [*MALFORMED_HEADS, *MALFORMED_CHUNKS, *OVERLONG], ids=_name
)
def test_a_server_that_sends_a_malformed_answer_has_not_crashed(
    case: AnswerCase,
) -> None:
    """A suspected crash holds back the server's queued attempts until a probe."""
    client = PlatformClient()
    raw = ScriptedServer([_encode(client, case)])
    result = client.call(raw.server, "1", WAIT_S)
    assert result.kind is AttemptKind.NO_ANSWER
    assert not result.is_broken
    assert _end_kind(result) is EndKind.FAILED, "liveness must see a failure"


@pytest.mark.parametrize("case", TRUNCATED_TRAILERS, ids=_name)
def test_a_server_that_ends_within_an_answer_may_have_crashed(
    case: AnswerCase,
) -> None:
    client = PlatformClient()
    raw = ScriptedServer([Broken(_encode(client, case), Ending.CLOSE)])
    assert client.call(raw.server, "1", WAIT_S).is_broken


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("case", VALID, ids=_name)
def test_a_valid_answer_is_passed_on(
    case: AnswerCase, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    raw = ScriptedServer([Broken(_encode(client, case), Ending.CLOSE)])
    assert _call(client, raw) == case.content


@pytest.mark.parametrize(
    "case", [*MALFORMED_HEADS, *MALFORMED_CHUNKS, *TRUNCATED_TRAILERS], ids=_name
)
def test_a_daemon_asks_again_for_a_malformed_answer(case: AnswerCase) -> None:
    valid = AnswerCase("valid").encode(HOP_HEADERS)
    raw = ScriptedServer([Broken(case.encode(HOP_HEADERS), Ending.CLOSE), valid])
    assert run_at_peer(raw, WAIT_S) == (200, BODY)
    assert raw.connections == 2


@pytest.mark.parametrize("case", VALID, ids=_name)
def test_a_daemon_takes_a_valid_answer_of_another(case: AnswerCase) -> None:
    raw = ScriptedServer([Broken(case.encode(HOP_HEADERS), Ending.CLOSE)])
    assert run_at_peer(raw, WAIT_S)[1] == case.content
    assert raw.connections == 1
