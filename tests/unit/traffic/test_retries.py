"""Test which attempts may be retried or hedged, and how often."""

import pytest

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.traffic.policy import BudgetedRetries
from pimentobend_core._internal.traffic.retries import HedgeBudget
from pimentobend_core._internal.traffic.retries import RetryBudget


def _create_budget(share: float) -> RetryBudget:
    """Return the budget of the only instance, which it has known of since 0 s."""
    budget = RetryBudget(share, floor_per_s=2.0)
    budget.update_instances(1, 0.0)
    return budget


@pytest.mark.parametrize(
    ("kind", "repeatable", "allowed"),
    [
        (AttemptKind.REFUSED, False, True),
        (AttemptKind.REFUSED, True, True),
        (AttemptKind.NOT_CONNECTED, False, True),
        (AttemptKind.NOT_CONNECTED, True, True),
        (AttemptKind.NO_ANSWER, False, False),
        (AttemptKind.NO_ANSWER, True, True),
        (AttemptKind.TRUNCATED, False, False),
        (AttemptKind.TRUNCATED, True, True),
        (AttemptKind.ANSWERED, False, False),
        (AttemptKind.ANSWERED, True, False),
        (AttemptKind.CANCELLED, False, False),
        (AttemptKind.CANCELLED, True, False),
    ],
)
def test_only_safe_work_is_retried(
    kind: AttemptKind, repeatable: bool, allowed: bool
) -> None:
    budget = _create_budget(share=0.2)
    assert budget.may_retry(kind, repeatable, 10.0, 5.0) is allowed


@pytest.mark.parametrize(
    ("deadline", "allowed"), [(4.5, False), (5.0, False), (5.5, True)]
)
def test_nothing_is_retried_after_the_deadline(deadline: float, allowed: bool) -> None:
    budget = _create_budget(share=0.2)
    assert budget.may_retry(AttemptKind.REFUSED, True, deadline, 5.0) is allowed


@pytest.mark.parametrize("failures", [100, 10_000])
@pytest.mark.parametrize("successes", [0, 50, 1000])
def test_retries_stay_within_a_share(successes: int, failures: int) -> None:
    budget = _create_budget(share=0.2)
    for _ in range(successes):
        budget.note_success()
    retries = sum(
        budget.may_retry(AttemptKind.NO_ANSWER, True, 9.0, 5.0) for _ in range(failures)
    )
    assert 10 <= retries <= 10 + 0.2 * successes


@pytest.mark.parametrize(
    ("kind", "returned"),
    [(AttemptKind.NOT_CONNECTED, 2), (AttemptKind.REFUSED, 8)],
)
def test_floor_returns_with_time(kind: AttemptKind, returned: int) -> None:
    budget = _create_budget(share=0.0)
    while budget.may_retry(kind, True, 9.0, 5.0):
        pass
    allowed = [budget.may_retry(kind, True, 9.0, 6.0) for _ in range(returned + 1)]
    assert allowed == [True] * returned + [False]


@pytest.mark.parametrize(
    ("repeatable", "successes", "allowed"),
    [(True, 100, True), (True, 0, False), (False, 100, False)],
)
def test_hedges_need_repeatable_work_and_successes(
    repeatable: bool, successes: int, allowed: bool
) -> None:
    budget = HedgeBudget()
    for _ in range(successes):
        budget.note_success()
    assert budget.may_hedge(repeatable, 9.0, 0.0) is allowed


@pytest.mark.parametrize(("pool", "allowed"), [("bookings", 10), ("catalogue", 22)])
def test_each_pool_has_its_own_budget(pool: str, allowed: int) -> None:
    policy = BudgetedRetries(share=0.125, floor_per_s=2.0)
    policy.update_instances(1, 0.0)
    for _ in range(100):
        policy.succeeded("catalogue", 0.0)
    assert sum(policy.may_retry(pool, 5.0) for _ in range(1000)) == allowed


@pytest.mark.parametrize(
    ("instances", "successes", "allowed"),
    [
        ((), 0, 0),
        ((), 40, 10),
        ((1,), 0, 10),
        ((5,), 0, 2),
        ((5,), 40, 12),
        ((1, 5), 0, 2),
        ((100,), 0, 0),
        ((100,), 3, 0),
        ((100,), 4, 1),
    ],
)
def test_the_floor_is_divided_by_the_known_instances(
    instances: tuple[int, ...], successes: int, allowed: int
) -> None:
    policy = BudgetedRetries(share=0.25, floor_per_s=2.0)
    for count in instances:
        policy.update_instances(count, 0.0)
    for _ in range(successes):
        policy.succeeded("bookings", 0.0)
    assert sum(policy.may_retry("bookings", 60.0) for _ in range(100)) == allowed
