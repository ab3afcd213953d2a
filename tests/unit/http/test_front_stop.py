"""Test what the callers of a stopping process get on their kept connections.

A request that came in the last moments of the grace time, while no server had room,
was taken, waited, and was cut off with no answer.
"""

import enum
from typing import Any

import eventlet
import pytest
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received

WAIT_S = 2.0
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
HALF = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello"


class Recorder(Filter[Received, Finished]):
    """Records the requests that it gets and refuses them."""

    def __init__(self) -> None:
        self.received: list[Received] = []

    def apply(self, value: Received) -> Result[Finished, Refusal]:
        self.received.append(value)
        return Failure(Refusal(504, Ran.UNKNOWN, RefusalReason.BACKEND, "no answer"))


class Stop(enum.Enum):
    """How far the stop of the process has got."""

    SERVING = "serving"
    STOPPING = "stopping"
    ENDING = "ending"


# Stop before the request, the request, stop after it, and its status, whether its
# connection closes, and whether the pipe got it.
CASES = [
    (Stop.SERVING, GET, None, 504, False, True),
    (Stop.STOPPING, GET, None, 504, True, True),
    (Stop.ENDING, GET, None, 503, True, False),
    (Stop.ENDING, HALF, None, 503, True, False),
    (Stop.STOPPING, HALF, Stop.ENDING, 503, True, False),
    (Stop.SERVING, HALF, Stop.ENDING, 503, True, False),
]


def _stop(front: CallerFront, stage: Stop | None) -> None:
    if stage in (Stop.STOPPING, Stop.ENDING):
        front.stop()
    if stage is Stop.ENDING:
        front.refuse_unread()


@pytest.mark.parametrize(
    ("before", "request_bytes", "after", "status", "closes", "is_taken"), CASES
)
def test_a_request_during_a_stop(
    before: Stop,
    request_bytes: bytes,
    after: Stop | None,
    status: int,
    closes: bool,
    is_taken: bool,
) -> None:
    pipe = Recorder()
    front = CallerFront(pipe, HubClock(), Discard())
    server = HttpServer(Address("127.0.0.1", 0), front)
    server.start()
    connection: Any = eventlet.connect(tuple(server.address))
    _stop(front, before)
    connection.sendall(request_bytes)
    if after is not None:
        eventlet.sleep(0.1)
        assert front.in_flight == 1
        _stop(front, after)
    with eventlet.Timeout(WAIT_S):
        answer = connection.recv(65536)
    head = answer.partition(b"\r\n\r\n")[0].lower()
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert (b"\r\nconnection: close" in head) == closes
    assert (b"\r\npimentobend-ran: not-run" in head) == (status == 503)
    assert (b"\r\nretry-after: " in head) == (status == 503)
    assert bool(pipe.received) == is_taken
    eventlet.sleep(0)
    assert front.in_flight == 0
    connection.close()
    server.close()
