"""Send heads up to the configured limit that consist mostly of one line."""

import eventlet
import pytest
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.front import FrontOptions
from pimentobend_adapters._internal.http.heads import MAX_HEAD_BYTES
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received
from pimentobendd._internal.fleet.instance import MAX_HOP_HEAD_BYTES

WAIT_S = 2.0
RECEIVE_BYTES = 65536
LIMIT_BYTES = 16384
LIMITS = ClientLimits(LIMIT_BYTES, 1024, 3000, 15000)
HOST = b"Host: h\r\n"


class Recorder(Filter[Received, Finished]):
    """Records the heads that pass through the front."""

    def __init__(
        self,
        limits: ClientLimits | None = LIMITS,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self.heads: list[RequestHead] = []
        options = FrontOptions(limits=lambda: limits)
        front = CallerFront(self, HubClock(), Discard(), options)
        address = Address("127.0.0.1", 0)
        self.server = HttpServer(address, front, max_head_bytes=max_head_bytes)
        self.server.start()

    def apply(self, value: Received) -> Result[Finished, Refusal]:
        self.heads.append(value.head)
        return Failure(Refusal(503, Ran.NOT_RUN, RefusalReason.DRAINING, "refused"))

    def exchange(self, request: bytes) -> bytes:
        """Send a request; return the first bytes of its answer."""
        connection = eventlet.connect(tuple(self.server.address))
        connection.sendall(request)
        with eventlet.Timeout(WAIT_S):
            received: bytes = connection.recv(RECEIVE_BYTES)
        connection.close()
        return received


def make_head(target_bytes: int, line_bytes: int) -> bytes:
    """Return a head with a target and a header line of these lengths."""
    target = b"/".ljust(target_bytes, b"t")
    line = b"X: ".ljust(line_bytes - 2, b"v") + b"\r\n"
    return b"GET " + target + b" HTTP/1.1\r\n" + HOST + line + b"\r\n"


TAKEN = [
    ("a line of 8 KB", 10, 8192),
    ("a line of 9 KB", 10, 9000),
    ("a line up to the limit", 10, LIMIT_BYTES - len(HOST)),
    ("a target of 8 KB", 8192, 20),
    ("a target of 9 KB", 9000, 20),
    ("a target up to the limit", LIMIT_BYTES, 20),
    ("both up to the limit", LIMIT_BYTES, LIMIT_BYTES - len(HOST)),
]


@pytest.mark.parametrize(
    ("target_bytes", "line_bytes"), [t[1:] for t in TAKEN], ids=[t[0] for t in TAKEN]
)
def test_a_head_within_its_limit_is_taken(target_bytes: int, line_bytes: int) -> None:
    recorder = Recorder()
    answer = recorder.exchange(make_head(target_bytes, line_bytes))
    assert answer.startswith(b"HTTP/1.1 503 ")
    (head,) = recorder.heads
    assert len(head.path) == target_bytes
    assert len(dict(head.headers)["X"]) == line_bytes - len("X: \r\n")


REFUSED = [
    ("a line beyond the limit", LIMITS, 10, LIMIT_BYTES - len(HOST) + 1, b"431"),
    ("a target beyond the limit", LIMITS, LIMIT_BYTES + 1, 20, b"414"),
    ("a line of 70 KB", None, 10, 70_000, b"400"),
    ("a target of 70 KB", None, 70_000, 20, b"414"),
    ("both beyond 64 KB together", None, 40_000, 40_000, b"400"),
]


@pytest.mark.parametrize(
    ("limits", "target_bytes", "line_bytes", "status"),
    [r[1:] for r in REFUSED],
    ids=[r[0] for r in REFUSED],
)
def test_a_head_beyond_its_limit_is_refused(
    limits: ClientLimits | None, target_bytes: int, line_bytes: int, status: bytes
) -> None:
    recorder = Recorder(limits)
    answer = recorder.exchange(make_head(target_bytes, line_bytes))
    assert answer.startswith(b"HTTP/1.1 " + status + b" ")
    assert b"\r\nPimentobend-Ran: not-run\r\n" in answer
    assert recorder.heads == []


def test_a_daemon_takes_a_head_to_which_another_one_added_headers() -> None:
    recorder = Recorder(None, MAX_HOP_HEAD_BYTES)
    answer = recorder.exchange(make_head(40_000, 60_000))
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert len(recorder.heads[0].path) == 40_000
