"""Test what callers and logs get of a request that is refused for its key."""

from typing import Any
from typing import NamedTuple

import eventlet
import pytest
from fake_ports import FakeTables
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.front import FrontOptions
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.organisation import name_sender
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received

WAIT_S = 2.0
RECEIVE_BYTES = 65536
KEY = "secret-key"
TABLES = FakeTables(None, (Organisation("museum", (KEY,)),))


class Refuser(Filter[Received, Finished]):
    """Refuses each request with one status and reason."""

    def __init__(self, status: int, reason: RefusalReason) -> None:
        self._refusal = Refusal(status, Ran.NOT_RUN, reason, "refused")

    def apply(self, value: Received) -> Result[Finished, Refusal]:
        return Failure(self._refusal)


class Events(Outlet[RequestEnded]):
    """Keeps events."""

    def __init__(self) -> None:
        self.kept: list[Any] = []

    def put(self, message: RequestEnded) -> None:
        self.kept.append(message)


class Case(NamedTuple):
    """A refusal, and the key and organisation that its event names."""

    status: int
    reason: RefusalReason
    key: str
    organisation: str


CASES = [
    Case(401, RefusalReason.UNKNOWN_KEY, "secret-other", ""),
    Case(503, RefusalReason.DRAINING, KEY, "museum"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: str(case.status))
def test_a_refusal_names_the_scheme_and_its_event_the_key_holder(case: Case) -> None:
    """Guard against events with claimed names or keys, and 401 without a scheme."""
    events = Events()
    options = FrontOptions(name_sender=lambda head: name_sender(TABLES, head))
    pipe = Refuser(case.status, case.reason)
    front = CallerFront(pipe, HubClock(), events, options)
    server = HttpServer(Address("127.0.0.1", 0), front)
    server.start()
    connection = eventlet.connect(tuple(server.address))
    connection.sendall(
        b"GET /x HTTP/1.1\r\nHost: h\r\nPimentobend-Organisation: forged\r\n"
        b"Authorization: Bearer " + case.key.encode() + b"\r\n\r\n"
    )
    with eventlet.Timeout(WAIT_S):
        answer = connection.recv(RECEIVE_BYTES)
    connection.close()
    assert answer.startswith(f"HTTP/1.1 {case.status} ".encode())
    is_unauthorized = case.status == 401
    assert (b"\r\nwww-authenticate: bearer\r\n" in answer.lower()) == is_unauthorized
    assert b"Pimentobend-Ran: not-run" in answer
    (event,) = events.kept
    assert event.organisation == case.organisation
    assert "secret" not in repr(event) and b"secret" not in answer
