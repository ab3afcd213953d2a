"""Test that requests which crash servers are refused before anything is sent."""

import pytest
from returns.result import Failure

from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.bodies import StreamedBody
from pimentobend_core._internal.crashes.fingerprint import find_fingerprint
from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.ports import BlocksPort
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.crash_guard import CrashGuardFilter
from pimentobend_core._internal.request.stages import Routed

HEAD = RequestHead("id", "GET", "h", "/bad", "", (), "", None, 0.0, 10.0)
ROUTE = Route("r", "*", "/", (), "p", True, 1000)
BODY = BufferedBody(b"")
BAD = find_fingerprint(HEAD, BODY)


class FixedClock(ClockPort):
    def now(self) -> float:
        return 30.0


class OneBlock(BlocksPort):
    """Blocks one fingerprint and records the requests refused for it."""

    def __init__(self) -> None:
        self.refused: list[str] = []

    def find_block(self, fingerprint: str) -> Block | None:
        return Block(BAD, 3, 3, 2, 100.0) if fingerprint == BAD else None

    def note_refused(self, request_id: str, block: Block) -> None:
        self.refused.append(request_id)


@pytest.mark.parametrize(
    ("path", "body", "is_refused"),
    [
        ("/bad", BODY, True),
        ("/good", BODY, False),
        ("/bad", BufferedBody(b"x"), False),
        ("/bad", StreamedBody(b"", None, None), False),  # type: ignore[arg-type]
    ],
)
def test_blocked_requests_are_refused_unrun(
    path: str, body: Body, is_refused: bool
) -> None:
    blocks = OneBlock()
    guard = CrashGuardFilter(blocks, FixedClock())
    head = HEAD._replace(path=path)
    result = guard.apply(Routed(head, body, ROUTE, "p"))
    assert isinstance(result, Failure) is is_refused
    assert blocks.refused == ["id"] * is_refused
    if isinstance(result, Failure):
        refusal = result.failure()
        assert refusal[:3] == (503, Ran.NOT_RUN, RefusalReason.CRASHES_SERVERS)
        assert BAD in refusal.detail
        assert refusal.retry_after_s == 70.0
    else:
        assert result.unwrap().fingerprint == find_fingerprint(head, body)
