"""Test that a request that crashes servers is refused, and what callers are told."""

from typing import NamedTuple

import pytest
from fake_ports import FakeBackend
from fake_ports import FakeBody
from fake_ports import FakeClock
from fake_ports import FakeLedger
from fake_ports import FakeRetries
from fake_ports import FakeTables
from fake_ports import FakeTraffic
from fake_ports import make_head
from fake_ports import make_route

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.models.request import AttemptKind as Kind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.request.pipe import RequestPorts
from pimentobend_core._internal.request.pipe import build_request_pipe
from pimentobend_core._internal.request.stages import Received

BLOCKED_S = 30.5


class FakeSuspects(SuspectsPort):
    """Blocks all requests from one question, or one ended attempt, on."""

    def __init__(self, questions: int, attempts: int) -> None:
        self._questions = questions
        self._attempts = attempts
        self.refused: list[str] = []
        self.runs: list[Run] = []
        self.ended_runs: list[Run] = []

    def find_block(self, fingerprint: str) -> Block | None:
        """Return a block once the questions or the attempts are used up."""
        self._questions -= 1
        is_blocked = self._questions < 0 or len(self.ended_runs) >= self._attempts
        return Block(fingerprint, 3, 3, 2, 100.0 + BLOCKED_S) if is_blocked else None

    def note_refused(self, request_id: str, block: Block) -> None:
        """Record the refusal."""
        self.refused.append(request_id)

    def started(self, run: Run, head: RequestHead) -> None:
        """Record the attempt."""
        self.runs.append(run)

    def ended(self, run: Run, result: AttemptResult) -> None:
        """Record the ended attempt."""
        self.ended_runs.append(run)


class Case(NamedTuple):
    """A request of two possible attempts, and when it becomes blocked."""

    name: str
    repeatable: bool
    questions: int  # not answered by a block
    attempts: int
    ran: Ran
    retry_after_s: float | None
    sent: int
    claims: int
    released: int


CASES = [
    Case("before its claim", False, 0, 9, Ran.NOT_RUN, BLOCKED_S, 0, 0, 0),
    Case("before its first attempt", False, 1, 9, Ran.NOT_RUN, BLOCKED_S, 0, 1, 0),
    Case("while it waits for a slot", False, 2, 9, Ran.NOT_RUN, BLOCKED_S, 0, 1, 1),
    Case("by its first attempt", True, 9, 1, Ran.UNKNOWN, None, 1, 0, 0),
    Case("while it waits again", True, 4, 9, Ran.UNKNOWN, None, 1, 0, 1),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_blocked_request_is_not_sent(case: Case) -> None:
    suspects = FakeSuspects(case.questions, case.attempts)
    backend = FakeBackend([(Kind.NO_ANSWER, 0)] * 2)
    traffic, ledger = FakeTraffic(), FakeLedger()
    ports = RequestPorts(
        clock=FakeClock(),
        tables=FakeTables(make_route(case.repeatable)),
        traffic=traffic,
        ledger=ledger,
        backend=backend,
        retries=FakeRetries(9),
        organisation_header="Pimentobend-Organisation",
        suspects=suspects,
    )
    head = make_head("key")
    refusal = build_request_pipe(ports).apply(Received(head, FakeBody())).failure()
    assert refusal.reason is RefusalReason.CRASHES_SERVERS
    assert refusal.status == (503 if case.ran is Ran.NOT_RUN else 502)
    assert (refusal.ran, refusal.retry_after_s) == (case.ran, case.retry_after_s)
    assert len(backend.sent) == case.sent == len(suspects.ended_runs)
    assert len(ledger.claims) == case.claims == len(ledger.settled)
    assert len(traffic.released) == case.released
    assert suspects.runs == suspects.ended_runs
    assert suspects.refused == [head.request_id]


HEAD = make_head()
SAME = [
    ("another host", HEAD._replace(host="10.0.0.2"), "*", True),
    ("another id", HEAD._replace(request_id="other"), "*", True),
    ("another organisation", HEAD._replace(organisation="other"), "*", False),
    ("another path", HEAD._replace(path="/y"), "*", False),
    ("the host of the route", HEAD, "h", False),
]


@pytest.mark.parametrize(
    ("head", "host", "is_same"),
    [case[1:] for case in SAME],
    ids=[case[0] for case in SAME],
)
def test_request_is_recognised_at_any_instance(
    head: RequestHead, host: str, is_same: bool
) -> None:
    suspects = FakeSuspects(99, 99)
    for one, route_host in ((HEAD, "*"), (head, host)):
        route = make_route(repeatable=False)._replace(host=route_host)
        ports = RequestPorts(
            clock=FakeClock(),
            tables=FakeTables(route),
            traffic=FakeTraffic(),
            ledger=FakeLedger(),
            backend=FakeBackend([(Kind.NO_ANSWER, 0)]),
            retries=FakeRetries(0),
            organisation_header="Pimentobend-Organisation",
            suspects=suspects,
        )
        build_request_pipe(ports).apply(Received(one, FakeBody()))
    fingerprints = [run.fingerprint for run in suspects.runs]
    assert all(fingerprints)
    assert (len(set(fingerprints)) == 1) is is_same
