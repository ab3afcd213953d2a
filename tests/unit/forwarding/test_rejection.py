"""Test when requests are rejected unsent, and when their callers return."""

import pytest
from delivery_driver import DEADLINE
from delivery_driver import SAFE
from delivery_driver import UNSAFE
from delivery_driver import Case
from delivery_driver import Driver
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import FinishBy
from pimentobend_core._internal.forwarding.delivery_messages import RecallAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.rejection import MAX_REMAINING_SHARE
from pimentobend_core._internal.forwarding.rejection import is_hopeless
from pimentobend_core._internal.forwarding.rejection import retry_after_s
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Requirements
from pimentobend_core._internal.forwarding.selection import select_cheapest
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran


@pytest.mark.parametrize(
    ("wait_s", "p90_s", "remaining_s", "is_rejected"),
    [
        (0.0, 0.4, 5.0, False),
        (4.0, 0.4, 5.0, False),
        (5.0, 0.4, 5.0, True),
        (4.9, 0.4, 5.0, True),
        (0.0, 2.0, 0.9, True),
    ],
)
def test_work_that_no_server_can_end_in_time_is_hopeless(
    wait_s: float, p90_s: float, remaining_s: float, is_rejected: bool
) -> None:
    assert is_hopeless(Bid("s", 0.0, 0, wait_s, p90_s), remaining_s) == is_rejected


def with_wait(server: Candidate, wait_s: float) -> Candidate:
    return server._replace(bid=server.bid._replace(wait_s=wait_s, free_slots=0))


@pytest.mark.parametrize("case", [SAFE, UNSAFE])
def test_hopeless_work_is_rejected_at_once(case: Case) -> None:
    driver = Driver(case)
    outputs = driver.offer(with_wait(candidate("a"), DEADLINE + 1.0))
    (refused,) = outputs
    assert isinstance(refused, Refuse)
    assert (refused.refusal.status, refused.refusal.ran) == (503, Ran.NOT_RUN)
    assert driver.now == 0.0


RISKS = [  # whether the request may be repeated, risk of the only server, is it sent
    ("booking, sound server", UNSAFE, 0.1, True),
    ("booking, doubtful server", UNSAFE, 0.6, True),
    ("booking, failing server", UNSAFE, 0.9, False),
    ("look-up, failing server", SAFE, 0.9, True),
]


@pytest.mark.parametrize(
    ("case", "risk", "is_sent"), [r[1:] for r in RISKS], ids=[r[0] for r in RISKS]
)
def test_what_may_not_be_repeated_never_goes_to_a_failing_server(
    case: Case, risk: float, is_sent: bool
) -> None:
    driver = Driver(case)
    driver.offer(candidate("a", risk))
    for _ in range(20):
        if isinstance(driver.outputs[-1], Refuse | SendAttempt):
            break
        driver.wait()
        driver.offer(candidate("a", risk))
    assert isinstance(driver.outputs[-1], SendAttempt) == is_sent
    assert driver.now < DEADLINE / 2, "the caller keeps time to return"


@pytest.mark.parametrize("remaining_s", [0.0, 0.5, 5.0, 60.0])
@pytest.mark.parametrize("wait_s", [0.0, 2.0, 30.0])
def test_a_rejected_caller_keeps_most_of_its_time(
    wait_s: float, remaining_s: float
) -> None:
    pauses = [retry_after_s(str(n), wait_s, remaining_s) for n in range(50)]
    limit_s = 1.5 * MAX_REMAINING_SHARE * remaining_s
    assert all(0.0 <= pause <= limit_s + 0.01 for pause in pauses)
    assert len(set(pauses)) > 10 or remaining_s <= 0.5


def test_a_longer_queue_sends_callers_away_for_longer() -> None:
    short, long = (retry_after_s("id", wait_s, 30.0) for wait_s in (1.0, 8.0))
    assert short < long


# Name, wait at the near server, wait at the far one, target latency, and the choice.
PLACES = [
    ("both free", 0.0, 0.0, 4.0, "near"),
    ("a wait within the target", 1.0, 0.0, 4.0, "near"),
    ("a wait beyond the target", 4.5, 0.0, 4.0, "far"),
    ("both late", 6.0, 6.0, 4.0, "near"),
    ("a short target", 0.3, 0.0, 0.4, "far"),
]


@pytest.mark.parametrize(
    ("near_s", "far_s", "target_s", "choice"),
    [p[1:] for p in PLACES],
    ids=[p[0] for p in PLACES],
)
def test_a_request_leaves_its_region_only_to_be_answered_in_time(
    near_s: float, far_s: float, target_s: float, choice: str
) -> None:
    near = with_wait(candidate("near"), near_s)
    far = with_wait(candidate("far", distance=Distance.FAR), far_s)
    requirements = Requirements(False, target_s, 20.0)
    best = select_cheapest((near, far), requirements, frozenset())
    assert best is not None
    assert best.candidate.server_id == choice


ENDS = [  # name, wait at the server, time until the process ends, is the request sent
    ("time for it", 0.0, 2.0, True),
    ("time for the queue and for it", 1.0, 2.0, True),
    ("too long a queue", 1.9, 2.0, False),
    ("hardly any time", 0.0, 0.1, False),
]


@pytest.mark.parametrize("case", [SAFE, UNSAFE])
@pytest.mark.parametrize(
    ("wait_s", "ends_in_s", "is_sent"), [e[1:] for e in ENDS], ids=[e[0] for e in ENDS]
)
def test_what_a_planned_stop_would_cut_off_is_rejected_at_once(
    wait_s: float, ends_in_s: float, is_sent: bool, case: Case
) -> None:
    driver = Driver(case)
    driver.give(FinishBy(driver.now + ends_in_s))
    (output,) = driver.offer(with_wait(candidate("a"), wait_s))
    assert isinstance(output, SendAttempt if is_sent else Refuse)
    if isinstance(output, Refuse):
        assert output.refusal.ran is Ran.NOT_RUN


QUEUES = [  # name, wait at the server, time until the end, when it is recalled
    ("its turn comes too late", 3.0, 2.0, 0.0),
    ("its turn should come in time", 1.0, 2.0, 1.8),
]


@pytest.mark.parametrize("case", [SAFE, UNSAFE])
@pytest.mark.parametrize("is_sent_before", [True, False])
@pytest.mark.parametrize(
    ("wait_s", "ends_in_s", "recalled_in_s"),
    [q[1:] for q in QUEUES],
    ids=[q[0] for q in QUEUES],
)
def test_what_still_waits_for_a_slot_is_recalled_before_its_daemon_ends(
    wait_s: float,
    ends_in_s: float,
    recalled_in_s: float,
    is_sent_before: bool,
    case: Case,
) -> None:
    driver = Driver(case)
    offered = with_wait(candidate("a"), wait_s)
    if is_sent_before:
        driver.offer(offered)
    outputs = driver.give(FinishBy(driver.now + ends_in_s))
    if not is_sent_before:
        outputs = driver.offer(offered)
    while not any(isinstance(each, RecallAttempt | Refuse) for each in outputs):
        outputs = driver.wait()
    assert driver.now == pytest.approx(recalled_in_s)
    if isinstance(outputs[0], RecallAttempt):
        driver.end(1, AttemptKind.DECLINED)
        outputs = driver.offer(with_wait(candidate("b"), wait_s))
    refused = outputs[-1]
    assert isinstance(refused, Refuse)
    assert refused.refusal.ran is Ran.NOT_RUN
