"""Test how a request ends that crashes the servers it is sent to."""

import pytest
from delivery_driver import SAFE
from delivery_driver import Driver
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason

SERVERS = (candidate("s1"), candidate("s2"), candidate("s3"))
DECLINED = AttemptKind.DECLINED
NO_ANSWER = AttemptKind.NO_ANSWER


def end(
    driver: Driver, number: int, kind: AttemptKind, blocked_s: float
) -> list[DeliveryOutput]:
    done = AttemptDone(number, kind, 0, blocked_s=blocked_s, is_suspect=True)
    return driver.give(done)


@pytest.mark.parametrize(
    ("kinds", "status", "ran", "retry_after_s"),
    [
        ([(DECLINED, 80.0)], 503, Ran.NOT_RUN, 80.0),
        ([(NO_ANSWER, 80.0)], 502, Ran.UNKNOWN, None),
        ([(NO_ANSWER, 0.0), (DECLINED, 80.0)], 502, Ran.UNKNOWN, None),
        ([(NO_ANSWER, 0.0), (NO_ANSWER, 80.0)], 502, Ran.UNKNOWN, None),
        ([(DECLINED, 0.0), (DECLINED, 80.0)], 503, Ran.NOT_RUN, 80.0),
    ],
)
def test_a_blocked_request_ends_at_once(
    kinds: list[tuple[AttemptKind, float]],
    status: int,
    ran: Ran,
    retry_after_s: float | None,
) -> None:
    driver = Driver(SAFE)
    outputs: list[DeliveryOutput] = []
    for number, (kind, blocked_s) in enumerate(kinds, 1):
        sent = driver.offer(*SERVERS)
        assert isinstance(sent[-1], SendAttempt)
        outputs = end(driver, number, kind, blocked_s)
    (refused,) = outputs
    assert isinstance(refused, Refuse)
    refusal = refused.refusal
    assert refusal[:3] == (status, ran, RefusalReason.CRASHES_SERVERS)
    assert refusal.retry_after_s == retry_after_s


def test_a_suspect_is_not_hedged() -> None:
    driver = Driver(SAFE._replace(max_attempts=4))
    driver.offer(*SERVERS)
    end(driver, 1, NO_ANSWER, 0.0)
    driver.offer(*SERVERS)
    while driver.wake_at < 9.0:
        assert driver.wait() == []
        driver.offer(*SERVERS)
    sent = [each for each in driver.outputs if isinstance(each, SendAttempt)]
    assert len(sent) == 2


def test_a_hedge_that_already_runs_may_still_answer() -> None:
    driver = Driver(SAFE)
    driver.offer(*SERVERS)
    driver.wait()
    sent = driver.offer(*SERVERS)
    assert isinstance(sent[-1], SendAttempt)
    assert end(driver, 1, NO_ANSWER, 80.0) == []
    assert driver.end(2, AttemptKind.ANSWERED, 200) == [Deliver(2)]
