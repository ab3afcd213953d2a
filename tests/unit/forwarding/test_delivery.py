"""Test the attempts of one request, from its route to its answer."""

import pytest
from delivery_driver import DEADLINE
from delivery_driver import SAFE
from delivery_driver import UNSAFE
from delivery_driver import Case
from delivery_driver import Driver
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CallerLeft
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import CancelUnsent
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import GiveUp
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import RecallAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Stop
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran

ANSWERS = [
    *(
        (case, status)
        for case in (SAFE, UNSAFE)
        for status in (200, 204, 302, 400, 404)
    ),
    *((SAFE, status) for status in (408, 421, 429)),
    *((UNSAFE, status) for status in (409, 422, 425, 500, 501, 504, 511)),
]


@pytest.mark.parametrize(("case", "status"), ANSWERS)
def test_an_answer_is_delivered(case: Case, status: int) -> None:
    driver = Driver(case)
    assert isinstance(driver.offer(candidate("a"))[0], SendAttempt)
    assert driver.end(1, AttemptKind.ANSWERED, status) == [Deliver(1)]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_that_the_server_did_not_state_is_withheld(status: int) -> None:
    """A booking that had run was answered 503, and its caller booked again."""
    driver = Driver(UNSAFE)
    driver.offer(candidate("a"))
    (last,) = driver.end(1, AttemptKind.ANSWERED, status)
    assert isinstance(last, Refuse)
    assert last.refusal.status == 502
    assert last.refusal.ran is Ran.UNKNOWN
    assert last.refusal.retry_after_s is None


FAILURES = [
    (SAFE, AttemptKind.ANSWERED, 500, True),
    (UNSAFE, AttemptKind.ANSWERED, 500, False),
    (SAFE, AttemptKind.NO_ANSWER, 0, True),
    (UNSAFE, AttemptKind.NO_ANSWER, 0, False),
    (SAFE, AttemptKind.TRUNCATED, 0, True),
    (UNSAFE, AttemptKind.TRUNCATED, 0, False),
    (SAFE, AttemptKind.REFUSED, 503, True),
    (UNSAFE, AttemptKind.REFUSED, 503, True),
    (SAFE, AttemptKind.DECLINED, 0, True),
    (UNSAFE, AttemptKind.DECLINED, 0, True),
    (UNSAFE, AttemptKind.NOT_CONNECTED, 0, True),
    (Case(max_attempts=1), AttemptKind.NO_ANSWER, 0, False),
    (Case(max_attempts=1), AttemptKind.DECLINED, 0, True),
    (Case(repeats=0), AttemptKind.NO_ANSWER, 0, False),
    (Case(repeats=0), AttemptKind.REFUSED, 503, False),
    (Case(repeats=0), AttemptKind.DECLINED, 0, True),
    (Case(can_replay=False), AttemptKind.NO_ANSWER, 0, False),
    (Case(can_replay=False), AttemptKind.DECLINED, 0, True),
]


@pytest.mark.parametrize(("case", "kind", "status", "sends_again"), FAILURES)
def test_which_attempts_are_retried(
    case: Case, kind: AttemptKind, status: int, sends_again: bool
) -> None:
    driver = Driver(case)
    driver.offer(candidate("a"))
    driver.end(1, kind, status)
    driver.offer(candidate("a"), candidate("b"))
    second = [each for each in driver.outputs if isinstance(each, SendAttempt)][1:]
    assert [each.candidate.server_id for each in second] == ["b"] * sends_again


NOT_RUN = {
    AttemptKind.DECLINED,
    AttemptKind.REFUSED,
    AttemptKind.NOT_CONNECTED,
}


@pytest.mark.parametrize("kind", [k for k in AttemptKind if k != AttemptKind.ANSWERED])
@pytest.mark.parametrize("case", [UNSAFE, Case(max_attempts=1)])
def test_a_refusal_says_not_run_only_when_nothing_ran(
    case: Case, kind: AttemptKind
) -> None:
    driver = Driver(case)
    for _ in range(100):
        last = driver.outputs[-1]
        if isinstance(last, Refuse):
            break
        if isinstance(last, AskServers):
            driver.offer(*(candidate(name) for name in "abcdefghijklmnop"))
        elif isinstance(last, SendAttempt):
            driver.end(last.number, kind)
    assert isinstance(driver.outputs[-1], Refuse)
    refusal = driver.outputs[-1].refusal
    assert (refusal.ran is Ran.NOT_RUN) == (kind in NOT_RUN)
    assert (refusal.status == 503) == (kind in NOT_RUN)
    assert (refusal.retry_after_s is not None) == (kind in NOT_RUN)


@pytest.mark.parametrize(
    ("case", "status", "ran"), [(SAFE, 504, "unknown"), (UNSAFE, 504, "unknown")]
)
def test_the_deadline_ends_everything(case: Case, status: int, ran: str) -> None:
    driver = Driver(case)
    driver.offer(candidate("a"))
    driver.now = DEADLINE
    outputs = driver.give(TimerDue())
    assert outputs[0] == CancelAttempt(1)
    assert isinstance(outputs[1], Refuse)
    assert (outputs[1].refusal.status, outputs[1].refusal.ran.value) == (status, ran)


def test_unsent_work_waits_for_a_server_and_is_then_refused() -> None:
    driver = Driver(UNSAFE)
    driver.offer()
    for _ in range(1000):
        if isinstance(driver.outputs[-1], Refuse):
            break
        driver.wait()
        driver.offer()
    assert driver.now < DEADLINE
    assert isinstance(driver.outputs[-1], Refuse)
    assert driver.outputs[-1].refusal.ran is Ran.NOT_RUN


@pytest.mark.parametrize("sends", [True, False])
def test_delivery_ends_when_the_caller_leaves(sends: bool) -> None:
    driver = Driver(SAFE)
    if sends:
        driver.offer(candidate("a"))
    outputs = driver.give(CallerLeft())
    assert outputs == [*[CancelAttempt(1)][:sends], Stop()]
    assert driver.give(Offers((candidate("a"),), Distance.FAR)) == []


DISTANCES = [
    ("reliable near server", 0.0, Distance.DATA_CENTRE),
    ("doubtful near server", 0.1, Distance.REGION),
    ("failing near server", 0.9, Distance.FAR),
]


@pytest.mark.parametrize(
    ("risk", "furthest"), [d[1:] for d in DISTANCES], ids=[d[0] for d in DISTANCES]
)
def test_further_servers_are_asked_where_they_may_cost_less(
    risk: float, furthest: Distance
) -> None:
    driver = Driver(UNSAFE)
    driver.offer(candidate("a", risk))
    asked = [each for each in driver.outputs if isinstance(each, AskServers)]
    assert asked[-1].distance is furthest


ENDS = [  # outcome of the recalled attempt, and status of the request
    ("nothing was sent", UNSAFE, None, 503),
    ("it waited for a slot", UNSAFE, AttemptKind.DECLINED, 503),
    ("it waited, and may be repeated", SAFE, AttemptKind.DECLINED, 503),
    ("it ran and gave no answer", SAFE, AttemptKind.NO_ANSWER, 502),
    ("it ran and was answered", UNSAFE, AttemptKind.ANSWERED, 200),
]


@pytest.mark.parametrize(
    ("case", "kind", "status"), [e[1:] for e in ENDS], ids=[e[0] for e in ENDS]
)
def test_shutdown_ends_unsent_requests(
    case: Case, kind: AttemptKind | None, status: int
) -> None:
    driver = Driver(case)
    driver.offer(*[candidate("a")][: kind is not None])
    outputs = driver.give(CancelUnsent())
    if kind is not None:
        assert outputs == [RecallAttempt(1)]
        outputs = driver.end(1, kind, 200)
    (last,) = outputs
    if isinstance(last, Refuse):
        assert last.refusal.status == status
    else:
        assert (last, status) == (Deliver(1), 200)


LAST_ANSWERS = [  # attempts that failed before, is one running, and what is answered
    ("nothing was sent", [], False, (503, Ran.NOT_RUN)),
    ("a server is at work", [], True, (502, Ran.UNKNOWN)),
    ("it was declined", [AttemptKind.DECLINED], False, (503, Ran.NOT_RUN)),
    (
        "a server is at work on a repeat",
        [AttemptKind.NO_ANSWER],
        True,
        (502, Ran.UNKNOWN),
    ),
]


@pytest.mark.parametrize(
    ("failed", "is_running", "answer"),
    [each[1:] for each in LAST_ANSWERS],
    ids=[each[0] for each in LAST_ANSWERS],
)
def test_every_request_is_answered_before_its_daemon_ends(
    failed: list[AttemptKind], is_running: bool, answer: tuple[int, Ran]
) -> None:
    driver = Driver(SAFE)
    for number, kind in enumerate(failed, 1):
        driver.offer(candidate(f"s{number}"))
        driver.end(number, kind)
    if is_running:
        driver.offer(candidate("last"))
    outputs = driver.give(GiveUp())
    assert [type(each) for each in outputs[:-1]] == [CancelAttempt] * is_running
    last = outputs[-1]
    assert isinstance(last, Refuse)
    assert (last.refusal.status, last.refusal.ran) == answer


@pytest.mark.parametrize("is_spent", [False, True])
def test_a_body_that_one_attempt_has_begun_is_not_sent_by_another(
    is_spent: bool,
) -> None:
    driver = Driver(Case(is_repeatable=False, can_replay=False))
    driver.offer(candidate("a"), candidate("b"))
    done = AttemptDone(1, AttemptKind.DECLINED, 0, is_body_spent=is_spent)
    outputs = driver.give(done)
    refusals = [each.refusal for each in outputs if isinstance(each, Refuse)]
    assert bool(refusals) == is_spent
    assert all(each.status == 503 and each.ran is Ran.NOT_RUN for each in refusals)
