"""Test when an answer shows that its server survived the request."""

from collections.abc import Iterator
from typing import NamedTuple

import pytest
from fake_ports import FakeBody
from fake_ports import FakeTraffic
from fake_ports import make_head
from fake_ports import make_route
from fake_ports import make_server
from greenlet import GreenletExit

from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.models.request import AttemptKind as Kind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.request.attempt import AttemptFilter
from pimentobend_core._internal.request.stages import Admitted
from pimentobend_core._internal.request.stages import Claimed
from pimentobend_core._internal.request.suspects import NoSuspects


class BrokenError(Exception):
    """The server ended within its answer."""


class FakeAnswer(AnswerBody):
    """An answer of some chunks, after which it is whole or breaks."""

    def __init__(self, chunks: int, *, breaks: bool) -> None:
        self._chunks = chunks
        self._breaks = breaks

    def chunks(self) -> Iterator[bytes]:
        """Yield the chunks."""
        yield from [b"x"] * self._chunks
        if self._breaks:
            raise BrokenError

    def close(self) -> None:
        """Do nothing; no connection is in use."""


class FakeBackend(BackendPort):
    """Ends each attempt with the same result."""

    def __init__(self, result: AttemptResult) -> None:
        self._result = result

    def will_reuse(self, server: Server) -> bool:
        """Return that no connection is kept."""
        return False

    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Return the result."""
        return self._result


class FakeSuspects(NoSuspects):
    """Records how the attempts ended."""

    def __init__(self) -> None:
        self.ends: list[Kind] = []

    def ended(self, run: Run, result: AttemptResult) -> None:
        """Record the end."""
        self.ends.append(result.kind)


class Case(NamedTuple):
    """An attempt, how many chunks of its answer are read, and the reported ends."""

    name: str
    kind: Kind
    answer: FakeAnswer | None
    reads: int
    before: list[Kind]  # until it is closed
    after: list[Kind]


WHOLE = [Kind.ANSWERED]
CUT = [Kind.TRUNCATED]
CASES = [
    Case("read", Kind.ANSWERED, FakeAnswer(2, breaks=False), 9, WHOLE, WHOLE),
    Case("empty", Kind.ANSWERED, FakeAnswer(0, breaks=False), 9, WHOLE, WHOLE),
    Case("half read", Kind.ANSWERED, FakeAnswer(2, breaks=False), 1, [], CUT),
    Case("not read", Kind.ANSWERED, FakeAnswer(2, breaks=False), 0, [], CUT),
    Case("breaks midway", Kind.ANSWERED, FakeAnswer(2, breaks=True), 9, [], CUT),
    Case(
        "refused",
        Kind.REFUSED,
        FakeAnswer(2, breaks=False),
        0,
        [Kind.REFUSED],
        [Kind.REFUSED],
    ),
    Case("no answer", Kind.NO_ANSWER, None, 0, [Kind.NO_ANSWER], [Kind.NO_ANSWER]),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_only_a_whole_answer_ends_a_run_well(case: Case) -> None:
    result = AttemptResult(case.kind, 200, (), case.answer, 0.01, False, None)
    suspects = FakeSuspects()
    attempt = AttemptFilter(FakeBackend(result), FakeTraffic(), suspects)
    claimed = Claimed(make_head(), FakeBody(), make_route(True), None, "f")
    ended = attempt.apply(Admitted(claimed, 1, make_server("s"))).unwrap()
    body = ended.result.body
    if body is not None:
        _read(body, case.reads)
        assert suspects.ends == case.before
        body.close()
    assert suspects.ends == case.after


class FailingBackend(FakeBackend):
    """Raises an error instead of a result."""

    def __init__(self, error: BaseException) -> None:
        self._error = error

    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Raise the error."""
        raise self._error


@pytest.mark.parametrize("error", [BrokenError("a fault"), GreenletExit()])
def test_an_attempt_that_ends_with_an_error_frees_its_slot(
    error: BaseException,
) -> None:
    traffic, suspects = FakeTraffic(), FakeSuspects()
    attempt = AttemptFilter(FailingBackend(error), traffic, suspects)
    claimed = Claimed(make_head(), FakeBody(), make_route(True), None, "f")
    with pytest.raises(type(error)):
        attempt.apply(Admitted(claimed, 1, make_server("s")))
    assert [each.kind for each in traffic.ends] == [Kind.NO_ANSWER]
    assert suspects.ends == [Kind.NO_ANSWER]


def _read(body: AnswerBody, count: int) -> None:
    chunks = body.chunks()
    try:
        for _ in range(count):
            if next(chunks, None) is None:
                return
    except BrokenError:
        return
