"""Test answers whose status is not one of three digits from 200 to 599.

A status such as 700 or 999 was passed on to the caller as the server's answer.
"""

from collections.abc import Callable

import pytest
from kept_connection import Answer
from kept_connection import Broken
from kept_connection import Client
from kept_connection import Ending
from kept_connection import OwnClient
from kept_connection import PlatformClient
from kept_connection import ScriptedServer

from pimentobend_core._internal.models.request import AttemptKind

CLIENTS: list[type[Client]] = [PlatformClient, OwnClient]
WAIT_S = 2.0
VALID = ["200", "204", "299", "302", "404", "451", "500", "503", "599"]
OUT_OF_RANGE = ["000", "099", "600", "700", "999"]
WITHOUT_FINAL = ["100", "199"]  # interim, and no final answer follows
MALFORMED = ["0200", "1200", "+200", "2_00", "20", "", "OK", "-200", "2e2"]
INTERIM = ["100", "102", "103"]


def _encode(client: Client, status: str, request_id: str = "1") -> bytes:
    answer = Answer(request_id=request_id).encode(client)
    return answer.replace(b" 200 ", f" {status} ".encode(), 1)


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("status", VALID)
def test_a_valid_status_is_passed_on(
    status: str, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    raw = ScriptedServer([_encode(client, status)])
    result = client.call(raw.server, "1", WAIT_S)
    assert (result.kind, result.status) == (AttemptKind.ANSWERED, int(status))


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("status", [*OUT_OF_RANGE, *WITHOUT_FINAL, *MALFORMED])
def test_an_invalid_status_is_no_answer(
    status: str, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    answer = _encode(client, status)
    valid = _encode(client, "200", "2")
    raw = ScriptedServer([Broken(answer, Ending.CLOSE), valid])
    result = client.call(raw.server, "1", WAIT_S)
    assert (result.kind, result.status) == (AttemptKind.NO_ANSWER, 0)
    assert result.body is None
    assert not result.has_server_ended
    assert client.call(raw.server, "2", WAIT_S).status == 200
    assert raw.connections == 2, "the next request needs a new connection"


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("status", [*OUT_OF_RANGE, *MALFORMED])
def test_a_server_that_answers_an_invalid_status_has_not_crashed(
    status: str, make_client: Callable[[], Client]
) -> None:
    """A suspected crash holds back the server's queued attempts until a probe."""
    client = make_client()
    raw = ScriptedServer([Broken(_encode(client, status), Ending.CLOSE)])
    assert not client.call(raw.server, "1", WAIT_S).is_broken


@pytest.mark.parametrize("make_client", CLIENTS)
@pytest.mark.parametrize("status", INTERIM)
@pytest.mark.parametrize("final", ["200", "700"])
def test_the_final_status_counts_after_an_interim_one(
    status: str, final: str, make_client: Callable[[], Client]
) -> None:
    client = make_client()
    interim = f"HTTP/1.1 {status} Wait\r\nX: y\r\n\r\n".encode()
    raw = ScriptedServer([interim + _encode(client, final)])
    result = client.call(raw.server, "1", WAIT_S)
    assert result.status == (200 if final == "200" else 0)
