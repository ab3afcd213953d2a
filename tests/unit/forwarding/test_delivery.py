"""Check the attempts of one request, from its route to its answer."""

from typing import NamedTuple

import pytest

from pimentobend_core._internal.forwarding.delivery import ASK_AGAIN_MAX_S
from pimentobend_core._internal.forwarding.delivery import Delivery
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CallerLeft
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Stop
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.gossip.rows import Life
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.request.dispatch import RetryPolicy

PEER = PeerRow("10.0.0.1:7", Life(1, 0), 1, "a", "r", False, 8, False, ())
DEADLINE = 10.0
TARGET_MS = 2000


class Budget(RetryPolicy):
    """Allow a number of repeats."""

    def __init__(self, repeats: int) -> None:
        self.repeats = repeats

    def may_retry(self, pool: str, now: float) -> bool:
        self.repeats -= 1
        return self.repeats >= 0

    def succeeded(self, pool: str, now: float) -> None:
        pass


def candidate(
    name: str,
    risk: float = 0.0,
    distance: Distance = Distance.DATA_CENTRE,
    *,
    takes_repeats: bool = True,
    wants_trial: bool = False,
    free_slots: int = 3,
) -> Candidate:
    wait_s = 0.0 if free_slots else 0.1
    bid = Bid(name, risk, free_slots, wait_s, 0.2, wants_trial, takes_repeats)
    return Candidate(PEER, bid, distance)


class Case(NamedTuple):
    """Hold the terms of a request."""

    is_repeatable: bool = True
    max_attempts: int = 2
    repeats: int = 10
    can_replay: bool = True


class Driver:
    """Drive a delivery and keep what it asks for."""

    def __init__(self, case: Case) -> None:
        route = Route(
            "r",
            "*",
            "/",
            (),
            "p",
            case.is_repeatable,
            10_000,
            max_attempts=case.max_attempts,
            target_latency_ms=TARGET_MS,
        )
        self.now = 0.0
        self.wake_at = 0.0
        self.delivery = Delivery(
            "id", route, "p", DEADLINE, case.can_replay, Budget(case.repeats)
        )
        self.outputs: list[DeliveryOutput] = []
        self._keep(self.delivery.begin(0.0))

    def give(self, message: DeliveryInput) -> list[DeliveryOutput]:
        before = len(self.outputs)
        self._keep(self.delivery.handle(message, self.now))
        return self.outputs[before:]

    def offer(self, *candidates: Candidate) -> list[DeliveryOutput]:
        """Offer servers at the distance asked for, and none further away."""
        outputs: list[DeliveryOutput] = [self.outputs[-1]]
        while outputs and isinstance(outputs[-1], AskServers):
            outputs = self.give(Offers(candidates, outputs[-1].distance))
        return outputs

    def end(
        self, number: int, kind: AttemptKind, status: int = 0
    ) -> list[DeliveryOutput]:
        return self.give(AttemptDone(number, kind, status))

    def wait(self) -> list[DeliveryOutput]:
        self.now = self.wake_at
        return self.give(TimerDue())

    def _keep(self, outputs: tuple[DeliveryOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, WakeAt):
                self.wake_at = output.due
            else:
                self.outputs.append(output)


SAFE = Case()
UNSAFE = Case(is_repeatable=False)


@pytest.mark.parametrize("status", [200, 204, 302, 400, 404, 429])
@pytest.mark.parametrize("case", [SAFE, UNSAFE])
def test_an_answer_is_delivered(case: Case, status: int) -> None:
    driver = Driver(case)
    assert isinstance(driver.offer(candidate("a"))[0], SendAttempt)
    assert driver.end(1, AttemptKind.ANSWERED, status) == [Deliver(1)]


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
def test_what_is_sent_again(
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
        (0.0, 0.9, 0, True),  # the server has stopped answering since
        (0.9, None, 0, True),  # it was tried, and tells nothing new
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
    assert is_sent or driver.wake_at < DEADLINE, "asks again"


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
        (SAFE, False, "busy"),  # a failure would stand
        (UNSAFE, True, "busy"),
    ],
)
def test_a_doubtful_server_or_a_queue(
    case: Case, takes_repeats: bool, chosen: str
) -> None:
    driver = Driver(case)
    busy = candidate("busy", free_slots=0, takes_repeats=takes_repeats)
    bid = busy.bid._replace(wait_s=0.5 * TARGET_MS / 1000)
    (sent,) = driver.offer(candidate("free", risk=0.8), busy._replace(bid=bid))
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == chosen


TRIALS = [
    ("with a sound server to fall back on", SAFE, candidate("b"), "a"),
    ("only a doubtful one besides", SAFE, candidate("b", risk=0.4), "b"),
    ("no budget to fall back", SAFE, candidate("b", takes_repeats=False), "a"),
    ("one attempt only", Case(max_attempts=1), candidate("b"), "b"),
    ("work that may not be repeated", UNSAFE, candidate("b"), "b"),
]


@pytest.mark.parametrize(
    ("case", "other", "chosen"), [t[1:] for t in TRIALS], ids=[t[0] for t in TRIALS]
)
def test_who_tries_a_doubtful_server(case: Case, other: Candidate, chosen: str) -> None:
    driver = Driver(case)
    (sent,) = driver.offer(candidate("a", risk=0.9, wants_trial=True), other)
    assert isinstance(sent, SendAttempt)
    assert sent.candidate.server_id == chosen


@pytest.mark.parametrize("case", [UNSAFE, Case(max_attempts=1), Case(can_replay=False)])
def test_what_is_never_hedged(case: Case) -> None:
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
def test_nothing_goes_on_once_the_caller_left(sends: bool) -> None:
    driver = Driver(SAFE)
    if sends:
        driver.offer(candidate("a"))
    outputs = driver.give(CallerLeft())
    assert outputs == [*[CancelAttempt(1)][:sends], Stop()]
    assert driver.give(Offers((candidate("a"),), Distance.FAR)) == []


DISTANCES = [
    ("a sound near server", 0.0, Distance.DATA_CENTRE),
    ("a doubtful near server", 0.1, Distance.REGION),
    ("a failing near server", 0.9, Distance.FAR),
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


@pytest.mark.parametrize(
    ("case", "kind", "holds"),
    [
        (UNSAFE, AttemptKind.REFUSED, True),
        (SAFE, AttemptKind.REFUSED, True),
        (SAFE, AttemptKind.NO_ANSWER, True),
        (SAFE, AttemptKind.ANSWERED, False),  # a failed answer is at hand
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
    assert driver.now <= TARGET_MS / 1000 + ASK_AGAIN_MAX_S
    assert asked < 10


def test_a_dear_hedge_is_not_sent() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a", risk=0.9))
    driver.wait()
    far = candidate("b", risk=0.4, distance=Distance.FAR, free_slots=0)
    assert driver.offer(far) == []
    assert driver.wake_at < DEADLINE


def test_a_hedge_that_nobody_takes_is_asked_for_ever_more_rarely() -> None:
    driver = Driver(SAFE)
    driver.offer(candidate("a"))
    asked = 0
    while driver.now < DEADLINE and not isinstance(driver.outputs[-1], Refuse):
        asked += AskServers(Distance.DATA_CENTRE) in driver.wait()
        driver.offer(candidate("a", free_slots=0))
    assert 5 < asked <= DEADLINE / ASK_AGAIN_MAX_S + 4
