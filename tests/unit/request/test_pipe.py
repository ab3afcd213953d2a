"""Test the outcome of the request pipe for each outcome of its attempts."""

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
from returns.result import Failure

from pimentobend_core._internal.models.request import AttemptKind as Kind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.request.pipe import RequestPorts
from pimentobend_core._internal.request.pipe import build_request_pipe
from pimentobend_core._internal.request.stages import Received

ANSWER = (Kind.ANSWERED, 200)
FAILURE = (Kind.ANSWERED, 500)
REFUSED = (Kind.REFUSED, 503)
NOT_CONNECTED = (Kind.NOT_CONNECTED, 0)
NO_ANSWER = (Kind.NO_ANSWER, 0)
TRUNCATED = (Kind.TRUNCATED, 200)
CANCELLED = (Kind.CANCELLED, 0)


def unstated(status: int) -> tuple[Kind, int]:
    """Return the outcome of an answer that does not say whether the request ran."""
    return (Kind.ANSWERED, status)


class Case(NamedTuple):
    """One request, the outcomes of its attempts and the expected result."""

    name: str
    repeatable: bool
    outcomes: tuple[tuple[Kind, int], ...]
    status: int
    ran: Ran
    attempts: int
    retries: int = 9
    can_replay: bool = True
    grants: int = 10


CASES = [
    Case("answer", True, (ANSWER,), 200, Ran.RAN, 1),
    Case("retried failure", True, (FAILURE, ANSWER), 200, Ran.RAN, 2),
    Case("failure, no budget", True, (FAILURE,), 500, Ran.RAN, 1, retries=0),
    Case("failure, not repeatable", False, (FAILURE,), 500, Ran.RAN, 1),
    *(
        Case(f"unstated {status}", False, (unstated(status),), 502, Ran.UNKNOWN, 1)
        for status in (408, 421, 429, 503)
    ),
    Case("unstated, repeatable", True, (unstated(429),), 429, Ran.RAN, 1),
    Case("unstated 503, repeatable", True, (unstated(503), ANSWER), 200, Ran.RAN, 2),
    Case("unstated 503, no budget", True, (unstated(503),), 503, Ran.RAN, 1, retries=0),
    *(
        Case(f"other {status}", False, (unstated(status),), status, Ran.RAN, 1)
        for status in (400, 404, 409, 422, 425, 501, 504, 511)
    ),
    Case("refused, then served", False, (REFUSED, ANSWER), 200, Ran.RAN, 2),
    Case("not connected, then served", False, (NOT_CONNECTED, ANSWER), 200, Ran.RAN, 2),
    Case(
        "not connected, no budget", False, (NOT_CONNECTED, ANSWER), 200, Ran.RAN, 2, 0
    ),
    Case("refused everywhere", False, (REFUSED,) * 8, 503, Ran.NOT_RUN, 8),
    Case("refused, no budget", False, (REFUSED,) * 3, 503, Ran.NOT_RUN, 3, 2),
    Case("not connected three times", False, (NOT_CONNECTED,) * 3, 502, Ran.NOT_RUN, 3),
    Case("no answer, not repeatable", False, (NO_ANSWER,), 504, Ran.UNKNOWN, 1),
    Case("truncated, not repeatable", False, (TRUNCATED,), 502, Ran.UNKNOWN, 1),
    Case("caller left", False, (CANCELLED,), 499, Ran.UNKNOWN, 1),
    Case("no answer, retried", True, (NO_ANSWER, ANSWER), 200, Ran.RAN, 2),
    Case("no answer, then refused", True, (NO_ANSWER, REFUSED), 503, Ran.UNKNOWN, 2, 1),
    Case("failure, then refused", True, (FAILURE, REFUSED), 503, Ran.RAN, 2, 1),
    Case("no answer, then no slot", True, (NO_ANSWER,), 503, Ran.UNKNOWN, 1, grants=1),
    Case("refused, then no slot", False, (REFUSED,), 503, Ran.NOT_RUN, 1, grants=1),
    Case("no slot", False, (), 503, Ran.NOT_RUN, 0, grants=0),
    Case("streamed body", True, (NO_ANSWER,), 504, Ran.UNKNOWN, 1, can_replay=False),
    Case(
        "streamed, not sent", True, (NOT_CONNECTED, ANSWER), 200, Ran.RAN, 2, 9, False
    ),
]


@pytest.mark.parametrize("has_key", [False, True], ids=["keyless", "keyed"])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_outcome_covers_all_attempts(case: Case, has_key: bool) -> None:
    backend = FakeBackend(case.outcomes)
    traffic = FakeTraffic(case.grants)
    ledger = FakeLedger()
    pipe = build_request_pipe(
        RequestPorts(
            clock=FakeClock(),
            tables=FakeTables(make_route(case.repeatable)),
            traffic=traffic,
            ledger=ledger,
            backend=backend,
            retries=FakeRetries(case.retries),
            organisation_header="Pimentobend-Organisation",
        )
    )
    head = make_head("key" if has_key else None)
    result = pipe.apply(Received(head, FakeBody(case.can_replay)))
    if isinstance(result, Failure):
        status, ran = result.failure().status, result.failure().ran
    else:
        finished = result.unwrap()
        status, ran = finished.result.status, finished.ran
    assert (status, ran, len(backend.sent)) == (case.status, case.ran, case.attempts)
    assert len(traffic.ends) == case.attempts
    assert len(set(backend.sent)) == case.attempts
    is_claimed = has_key and not case.repeatable
    assert ledger.settled == ([case.ran] if is_claimed else [])


LEDGER_REFUSALS = [
    Refusal(503, Ran.NOT_RUN, RefusalReason.LEDGER, "no majority"),
    Refusal(409, Ran.UNKNOWN, RefusalReason.IN_PROGRESS, "in progress"),
    Refusal(409, Ran.RAN, RefusalReason.ALREADY_RAN, "ran"),
]


@pytest.mark.parametrize("refusal", LEDGER_REFUSALS, ids=lambda r: r.reason.value)
def test_nothing_is_sent_without_a_claim(refusal: Refusal) -> None:
    backend = FakeBackend(())
    ports = RequestPorts(
        clock=FakeClock(),
        tables=FakeTables(make_route(repeatable=False)),
        traffic=FakeTraffic(),
        ledger=FakeLedger(refusal),
        backend=backend,
        retries=FakeRetries(9),
        organisation_header="Pimentobend-Organisation",
    )
    result = build_request_pipe(ports).apply(Received(make_head("key"), FakeBody()))
    assert result == Failure(refusal)
    assert backend.sent == []


@pytest.mark.parametrize(
    ("has_route", "remaining_s", "reason"),
    [
        (False, 5.0, RefusalReason.NO_ROUTE),
        (True, 0.0, RefusalReason.DEADLINE),
        (True, -1.0, RefusalReason.DEADLINE),
    ],
)
def test_refused_before_a_slot_is_requested(
    has_route: bool, remaining_s: float, reason: RefusalReason
) -> None:
    traffic = FakeTraffic()
    ports = RequestPorts(
        clock=FakeClock(),
        tables=FakeTables(make_route(repeatable=True) if has_route else None),
        traffic=traffic,
        ledger=FakeLedger(),
        backend=FakeBackend(()),
        retries=FakeRetries(9),
        organisation_header="Pimentobend-Organisation",
    )
    head = make_head(remaining_s=remaining_s)
    refusal = build_request_pipe(ports).apply(Received(head, FakeBody())).failure()
    assert (refusal.reason, refusal.ran) == (reason, Ran.NOT_RUN)
    assert traffic.asked == []
