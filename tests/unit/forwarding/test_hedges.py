"""Test when and where retries, hedges and trials are sent."""

import pytest
from delivery_driver import DEADLINE
from delivery_driver import SAFE
from delivery_driver import TARGET_MS
from delivery_driver import UNSAFE
from delivery_driver import Case
from delivery_driver import Driver
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.delivery_messages import HoldReason
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.holding import MAX_ASK_INTERVAL_S
from pimentobend_core._internal.forwarding.holding import MIN_HEDGE_DELAY_S
from pimentobend_core._internal.forwarding.holding import AskInterval
from pimentobend_core._internal.forwarding.holding import hedge_delay_s
from pimentobend_core._internal.forwarding.holding import usual_p90_s
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind


def test_a_slow_safe_request_is_hedged_and_the_loser_cancelled() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    assert driver.wait() == [AskServers(Distance.DATA_CENTRE)]
    (sent,) = driver.offer(candidate("a"), candidate("b"))
    assert isinstance(sent, SendAttempt)
    assert (sent.candidate.server_id, sent.is_hedge) == ("b", True)
    assert driver.end(2, AttemptKind.ANSWERED, 200) == [CancelAttempt(1), Deliver(2)]


def test_a_declined_hedge_is_sent_elsewhere() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.wait()
    driver.offer(candidate("b"))
    assert driver.end(2, AttemptKind.DECLINED) == []
    assert driver.wait() == [AskServers(Distance.DATA_CENTRE)]
    (sent,) = driver.offer(candidate("b"), candidate("c"))
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == "c"
    assert driver.now < DEADLINE


@pytest.mark.parametrize(
    ("first_risk", "risk_now", "free_slots", "is_sent"),
    [
        (0.0, 0.0, 1, True),
        (0.0, 0.0, 0, False),  # the whole service is busy
        (0.0, 0.9, 0, True),  # the first server has stopped answering since
        (0.9, None, 0, True),  # no newer bid of the first server
    ],
)
def test_a_hedge_joins_a_queue_only_when_the_first_server_is_doubtful(
    first_risk: float, risk_now: float | None, free_slots: int, is_sent: bool
) -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a", first_risk))
    driver.wait()
    known = () if risk_now is None else (candidate("a", risk_now),)
    outputs = driver.offer(*known, candidate("b", free_slots=free_slots))
    assert bool(outputs) == is_sent
    assert is_sent or driver.wake_at < DEADLINE, "must ask again"


@pytest.mark.parametrize("repeats", [0, 10])
def test_a_hedge_waits_for_the_retry_budget(repeats: int) -> None:
    driver = Driver(Case(repeats=repeats))
    driver.offer(candidate("a"))
    driver.wait()
    assert driver.offer(candidate("b", takes_repeats=repeats == 0)) == []
    assert driver.wait() == [AskServers(Distance.DATA_CENTRE)]
    assert driver.now < DEADLINE


def test_a_repeat_goes_where_the_budget_is_not_spent() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.end(1, AttemptKind.ANSWERED, 500)
    (sent,) = driver.offer(
        candidate("b", takes_repeats=False), candidate("c", risk=0.3)
    )
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == "c"


def test_a_failure_is_given_at_once_when_the_budget_is_spent() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.end(1, AttemptKind.ANSWERED, 500)
    assert driver.offer(candidate("b", takes_repeats=False)) == [Deliver(1)]


@pytest.mark.parametrize(
    ("case", "takes_repeats", "chosen"),
    [
        (SAFE, True, "free"),
        (SAFE, False, "busy"),  # a failure could not be retried
        (UNSAFE, True, "busy"),
    ],
)
def test_choice_between_a_doubtful_and_a_busy_server(
    case: Case, takes_repeats: bool, chosen: str
) -> None:
    driver = Driver(case)
    busy = candidate("busy", free_slots=0, takes_repeats=takes_repeats)
    bid = busy.bid._replace(wait_s=0.5 * TARGET_MS / 1000)
    (sent,) = driver.offer(candidate("free", risk=0.8), busy._replace(bid=bid))
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == chosen


TRIALS = [
    ("reliable server to fall back on", SAFE, candidate("b"), "a"),
    ("only a doubtful server to fall back on", SAFE, candidate("b", risk=0.4), "b"),
    ("no budget for a retry", SAFE, candidate("b", takes_repeats=False), "a"),
    ("only one attempt allowed", Case(max_attempts=1), candidate("b"), "b"),
    ("not repeatable", UNSAFE, candidate("b"), "b"),
]


@pytest.mark.parametrize(
    ("case", "other", "chosen"), [t[1:] for t in TRIALS], ids=[t[0] for t in TRIALS]
)
def test_which_requests_are_trials(case: Case, other: Candidate, chosen: str) -> None:
    driver = Driver(case)
    (sent,) = driver.offer(candidate("a", risk=0.9, wants_trial=True), other)
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == chosen


def test_a_retry_is_no_extra_copy() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.end(1, AttemptKind.ANSWERED, 500)
    (sent,) = driver.offer(candidate("b", takes_copies=False))
    assert isinstance(sent, SendAttempt)
    assert (sent.is_hedge, sent.is_repeat) == (False, True)


@pytest.mark.parametrize("case", [UNSAFE, Case(max_attempts=1), Case(can_replay=False)])
def test_which_requests_are_never_hedged(case: Case) -> None:
    driver = Driver(case)
    driver.offer(candidate("a"))
    assert driver.wake_at == DEADLINE


def test_a_failure_waits_for_the_hedge() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.wait()
    driver.offer(candidate("b"))
    assert driver.end(1, AttemptKind.ANSWERED, 500) == []
    assert driver.end(2, AttemptKind.NO_ANSWER) == [Deliver(1)]


@pytest.mark.parametrize(
    ("case", "kind", "holds"),
    [
        (UNSAFE, AttemptKind.REFUSED, True),
        (SAFE, AttemptKind.REFUSED, True),
        (SAFE, AttemptKind.NO_ANSWER, True),
        (SAFE, AttemptKind.ANSWERED, False),  # the failed answer is delivered
    ],
)
def test_a_repeat_waits_for_budget_until_the_target(
    case: Case, kind: AttemptKind, holds: bool
) -> None:
    driver = Driver(case)
    driver.offer(candidate("a"))
    driver.end(1, kind, 500)
    asked = 0
    while not isinstance(driver.outputs[-1], Refuse | Deliver):
        driver.offer(candidate("b", takes_repeats=False))
        if not isinstance(driver.outputs[-1], Refuse | Deliver):
            driver.wait()
            asked += 1
    assert (driver.now > 0.0) == holds
    assert driver.now <= TARGET_MS / 1000 + MAX_ASK_INTERVAL_S
    assert asked < 10


def test_a_hedge_that_costs_too_much_is_not_sent() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a", risk=0.9))
    driver.wait()
    far = candidate("b", risk=0.4, distance=Distance.FAR, free_slots=0)
    assert driver.offer(far) == []
    assert driver.wake_at < DEADLINE


def test_asks_for_a_hedge_back_off() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    asked = 0
    while driver.now < DEADLINE and not isinstance(driver.outputs[-1], Refuse):
        asked += AskServers(Distance.DATA_CENTRE) in driver.wait()
        driver.offer(candidate("a", free_slots=0))
    assert 5 < asked <= DEADLINE / MAX_ASK_INTERVAL_S + 4


@pytest.mark.parametrize(
    ("risk_now", "furthest"), [(0.0, Distance.DATA_CENTRE), (0.9, Distance.FAR)]
)
def test_how_far_a_hedge_is_offered(risk_now: float, furthest: Distance) -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    driver.outputs.clear()
    driver.wait()
    busy = candidate("b", free_slots=0, takes_repeats=False)
    driver.offer(candidate("a", risk_now), busy)
    asked = [each for each in driver.outputs if isinstance(each, AskServers)]
    assert asked[-1].distance is furthest


DELAYS = [  # own wait and 90th percentile, those of others, target, expected delay
    ("alone", (0.0, 0.2), (), 0.0, 0.24),
    ("after its wait", (0.1, 0.2), (), 0.0, 0.34),
    ("quick", (0.0, 0.01), (), 0.0, MIN_HEDGE_DELAY_S),
    ("target", (0.0, 2.0), (), 1.0, 0.5),
    ("slower than usual", (0.0, 1.6), (0.2, 0.2, 0.3), 0.0, 0.24),
    ("faster than usual", (0.0, 0.1), (0.2, 0.2, 0.3), 0.0, 0.12),
    ("as slow as most", (0.0, 1.6), (0.2, 1.5, 1.7), 0.0, 1.8),
    ("the others are guesses", (0.0, 1.6), (-0.2, -0.2, -0.3), 0.0, 1.92),
]


@pytest.mark.parametrize(
    ("own", "others", "target_s", "expected_s"),
    [d[1:] for d in DELAYS],
    ids=[d[0] for d in DELAYS],
)
def test_a_hedge_is_due_by_the_usual_time(
    own: tuple[float, float],
    others: tuple[float, ...],
    target_s: float,
    expected_s: float,
) -> None:
    """At a slow server, a hedge that was due by its own times came too late."""
    bid = Bid("a", 0.0, 3, *own)
    bids = [Bid("b", 0.0, 3, 0.0, abs(p90_s), is_known=p90_s > 0) for p90_s in others]
    delay_s = hedge_delay_s(bid, usual_p90_s([bid, *bids]), target_s)
    assert delay_s == pytest.approx(expected_s)


HOLDS = [
    ("no server", UNSAFE, (), HoldReason.NO_SERVER, False),
    ("at risk", UNSAFE, (candidate("b", risk=0.9),), HoldReason.RISK, False),
    (
        "no budget",
        SAFE,
        (candidate("a", risk=0.9), candidate("b", takes_repeats=False)),
        HoldReason.BUDGET,
        True,
    ),
    ("busy", SAFE, (candidate("b", free_slots=0),), HoldReason.BUSY, True),
    (
        "no copies",
        SAFE,
        (candidate("a"), candidate("b", takes_copies=False)),
        HoldReason.COPIES,
        True,
    ),
    (
        "no copies beside a failing server",
        SAFE,
        (candidate("a", risk=0.9), candidate("b", takes_copies=False)),
        HoldReason.COPIES,
        True,
    ),
    (
        "too costly",
        SAFE,
        (candidate("a", risk=0.9), candidate("b", risk=0.8)),
        HoldReason.COST,
        True,
    ),
]


@pytest.mark.parametrize(
    ("case", "offered", "reason", "is_hedge"), [h[1:] for h in HOLDS], ids=str
)
def test_each_reason_to_wait_is_reported_once(
    case: Case, offered: tuple[Candidate, ...], reason: HoldReason, is_hedge: bool
) -> None:
    driver = Driver(case)
    if is_hedge:
        driver.offer(candidate("a"))
        driver.wait()
    for _ in range(3):
        driver.offer(*offered)
        driver.wait()
    assert driver.held[0] == Held(reason, is_hedge)
    assert driver.held.count(Held(reason, is_hedge)) == 1


@pytest.mark.parametrize(
    ("reason", "intervals_s"),
    [
        (None, [0.1, 0.2, 0.4, 0.8, 0.8]),
        (HoldReason.NO_SERVER, [0.1, 0.2, 0.4, 0.8, 0.8]),
        (HoldReason.BUDGET, [0.4, 0.8, 0.8, 0.8, 0.8]),
    ],
)
def test_how_often_servers_are_asked_again(
    reason: HoldReason | None, intervals_s: list[float]
) -> None:
    """Guards against questions to all regions while a retry budget is spent."""
    interval = AskInterval()
    assert [interval.take_s(reason) for _ in intervals_s] == intervals_s
