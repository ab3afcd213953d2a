"""Test which requests a stopping daemon sends, and which it refuses unsent.

Requests that came late in the grace time were taken and passed on, and cut off with no
answer at its end, among them requests that may not be repeated.
"""

import math
import random

import pytest
from delivery_driver import DEADLINE
from delivery_driver import SAFE
from delivery_driver import UNSAFE
from delivery_driver import Case
from delivery_driver import Driver
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import CancelUnsent
from pimentobend_core._internal.forwarding.delivery_messages import FinishBy
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.durations import STRAGGLER_MULTIPLE
from pimentobend_core._internal.forwarding.durations import STRAGGLER_SHARE
from pimentobend_core._internal.forwarding.durations import DurationEstimate
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.rejection import would_outlast
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran

MEDIAN_S = 0.3
ANSWERS = 200
TRIALS = 20_000
STEP_S = 0.01
# Of the requests that are sent as late as possible. Stragglers take several times as
# long as the others, and cannot all end.
MAX_REGULAR_SHARE = 0.01
MAX_SHARE = 0.05


def _draw(numbers: random.Random, deviation: float) -> tuple[float, bool]:
    """Return how long a request takes, in seconds, and whether it is a straggler."""
    seconds = math.exp(numbers.gauss(math.log(MEDIAN_S), deviation))
    is_straggler = numbers.random() < STRAGGLER_SHARE
    return seconds * STRAGGLER_MULTIPLE if is_straggler else seconds, is_straggler


@pytest.mark.parametrize("wait_s", [0.0, 0.5])
@pytest.mark.parametrize("deviation", [0.2, 0.3, 0.5, 0.8])
def test_hardly_any_request_outlasts_the_process_that_took_it(
    deviation: float, wait_s: float
) -> None:
    numbers = random.Random(1)
    estimate = DurationEstimate(1.5)
    for _ in range(ANSWERS):
        estimate.record(_draw(numbers, deviation)[0])
    bid = Bid("s", 0.0, 1, wait_s, estimate.p90_s)
    remaining_s = 0.0
    while would_outlast(bid, remaining_s):
        remaining_s += STEP_S
    drawn = [_draw(numbers, deviation) for _ in range(TRIALS)]
    cut = [
        is_straggler
        for seconds, is_straggler in drawn
        if wait_s + seconds > remaining_s
    ]
    assert cut.count(False) / TRIALS <= MAX_REGULAR_SHARE
    assert len(cut) / TRIALS <= MAX_SHARE


@pytest.mark.parametrize(
    ("is_known", "remaining_s", "is_sent"),
    [(True, 0.7, True), (False, 0.7, False), (False, 1.3, True)],
)
def test_a_guess_of_the_answer_time_needs_more_time_left(
    is_known: bool, remaining_s: float, is_sent: bool
) -> None:
    bid = Bid("s", 0.0, 1, 0.0, 0.2, is_known=is_known)
    assert would_outlast(bid, remaining_s) is not is_sent


LATE = [  # name, when the stop was noticed and the process ends, is the request sent
    ("began before the stop was noticed", 0.1, 3.0, True),
    ("began when the stop was noticed", 0.0, 3.0, False),
    ("began later", -1.0, DEADLINE - 0.01, False),
    ("began later, has to end before the process", -1.0, DEADLINE, True),
]


@pytest.mark.parametrize("case", [SAFE, UNSAFE])
@pytest.mark.parametrize(
    ("noticed_at", "ends_at", "is_sent"),
    [e[1:] for e in LATE],
    ids=[e[0] for e in LATE],
)
def test_a_late_request_is_sent_only_if_it_ends_before_its_daemon(
    noticed_at: float, ends_at: float, is_sent: bool, case: Case
) -> None:
    """Guards against stragglers that a stopping daemon takes late and cuts off."""
    driver = Driver(case)
    outputs = driver.give(FinishBy(2.0, noticed_at, ends_at))
    if is_sent:
        assert isinstance(driver.offer(candidate("a"))[0], SendAttempt)
        return
    (refused,) = outputs
    assert isinstance(refused, Refuse)
    assert refused.refusal.status == 503
    assert refused.refusal.ran is Ran.NOT_RUN
    assert refused.refusal.retry_after_s


@pytest.mark.parametrize("case", [SAFE, UNSAFE])
def test_a_request_without_a_server_is_refused_before_the_end(case: Case) -> None:
    driver = Driver(case)
    driver.give(FinishBy(driver.now + 0.3))
    driver.offer()
    (refused,) = driver.give(CancelUnsent())
    assert isinstance(refused, Refuse)
    assert refused.refusal.status == 503
    assert refused.refusal.ran is Ran.NOT_RUN
    assert refused.refusal.retry_after_s


def test_a_server_that_has_room_takes_what_ends_in_time() -> None:
    driver = Driver(UNSAFE)
    driver.give(FinishBy(driver.now + 2.0))
    (sent,) = driver.offer(candidate("a"))
    assert not isinstance(sent, Refuse)


def test_a_retry_that_would_be_cut_off_does_not_begin() -> None:
    driver = Driver(SAFE)
    driver.give(FinishBy(driver.now + 2.0))
    driver.offer(candidate("a"), candidate("b"))
    driver.now += 1.9
    driver.end(1, AttemptKind.NO_ANSWER)
    (refused,) = driver.offer(candidate("a"), candidate("b"))
    assert isinstance(refused, Refuse)
    assert refused.refusal.ran is Ran.UNKNOWN
