"""Test which requests are taken for calls of backend servers."""

import pytest

from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.request.call_routes import CallRouteFilter
from pimentobend_core._internal.request.stages import Routed

ROUTE = Route("lookup", "*", "/", (), "p", True, 1000)
HEAD = RequestHead("id", "GET", "h", "/", "", (), "", None, 0.0, 8.0)
CALL = Sender(is_call=True, demand=2.0, calling_routes=("a",), calling_runs=("1",))
CLIENT = Sender(is_client=True)
UNKNOWN = Sender()

# Name, the senders of a route's requests, and whether the last one is a call.
SENDERS = [
    ("the first request", [CALL], False),
    ("nobody else than servers", [CALL] * 5, True),
    ("some of unknown senders", [UNKNOWN] * 4 + [CALL], True),
    ("a client before", [CLIENT, *[CALL] * 20], False),
    ("a client among calls", [*[CALL] * 10, CLIENT, CALL], False),
    ("an unknown sender", [CALL] * 5 + [UNKNOWN], False),
]


def routed(sender: Sender, key: bytes = b"") -> Routed:
    head = HEAD._replace(api_key_digest=key)
    return Routed(head, BufferedBody(b""), ROUTE, sender=sender)


@pytest.mark.parametrize(
    ("senders", "is_call"), [s[1:] for s in SENDERS], ids=[s[0] for s in SENDERS]
)
def test_calls_are_told_from_requests_of_clients(
    senders: list[Sender], is_call: bool
) -> None:
    """Guards against clients on a server's machine that are taken for the server."""
    calls = CallRouteFilter()
    for sender in senders:
        last = calls.apply(routed(sender)).unwrap().sender
    assert last.is_call is is_call
    assert last.calling_runs == (("1",) if is_call else ())
    assert last.demand == (2.0 if is_call else 1.0)


def test_a_request_with_a_key_is_no_call() -> None:
    """Guards against calls that are looked for among the requests of organisations."""
    calls = CallRouteFilter()
    calls.apply(routed(UNKNOWN, b"digest"))
    for _ in range(6):
        last = calls.apply(routed(CALL)).unwrap().sender
    assert not last.is_call
