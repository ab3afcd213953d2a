"""Test that all servers together take no more repeats than the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentobend_core._internal.traffic.service_sizes import SizeHistory
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import ServiceBudget
from pimentobend_core._internal.traffic.shared_budget import ServiceBudgets

TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=60.0)
SERVERS = 8
LONG_AGO = -60.0


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(0, SERVERS - 1), st.booleans()),
        max_size=400,
    ),
    st.floats(0, 20),
)
def test_no_window_exceeds_the_budget(
    steps: list[tuple[float, int, bool]], restart_at: float
) -> None:
    budgets = [ServiceBudget(TERMS, LONG_AGO) for _ in range(SERVERS)]
    has_restarted = False
    now = 0.0
    taken: list[tuple[float, bool]] = []
    for wait_s, server, is_repeat in steps:
        now += wait_s
        if now >= restart_at and not has_restarted:
            has_restarted = True  # all daemons restart at once and lose their counts
            budgets = [ServiceBudget(TERMS, now) for _ in range(SERVERS)]
        budget = budgets[server]
        if is_repeat and not budget.count(SERVERS, now).allows_repeat:
            continue
        if is_repeat:
            budget.reserve(1.0)
            budget.note_ended(1.0, now)
        else:
            budget.note_first(now)
        taken.append((now, is_repeat))
        window = [each for at, each in taken if now - at <= TERMS.window_s]
        limit = TERMS.ratio * window.count(False) + TERMS.allowance
        assert window.count(True) <= limit


@pytest.mark.parametrize(("firsts", "repeats"), [(0, 5), (50, 12), (500, 75)])
def test_the_share_of_one_server(firsts: int, repeats: int) -> None:
    budget = ServiceBudget(TERMS, LONG_AGO)
    for _ in range(firsts):
        budget.note_first(0.0)
    allowed = 0
    while budget.count(SERVERS, 0.0).allows_repeat:
        budget.reserve(1.0)
        allowed += 1
    assert allowed == repeats


CASES = [
    ("nothing known of the fleet", 0, LONG_AGO, 0, 0),
    ("nothing known, but requests", 0, LONG_AGO, 50, 7),
    ("just started", SERVERS, -5.0, 0, 0),
    ("just started, with requests", SERVERS, -5.0, 50, 7),
    ("a window after the start", SERVERS, -10.0, 0, 5),
]


@pytest.mark.parametrize(
    ("servers", "started_at", "firsts", "repeats"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_what_a_host_cannot_know_counts_as_spent(
    servers: int, started_at: float, firsts: int, repeats: int
) -> None:
    budget = ServiceBudget(TERMS, started_at)
    for _ in range(firsts):
        budget.note_first(0.0)
    allowed = 0
    while budget.count(servers, 0.0).allows_repeat:
        budget.reserve(1.0)
        allowed += 1
    assert allowed == repeats


@pytest.mark.parametrize(
    ("away_s", "allowed"),
    [(0.0, 0), (9.0, 0), (11.0, 0), (25.0, 0)],
    ids=["a new life", "back soon", "back late", "back very late"],
)
def test_a_server_that_comes_back_has_no_new_allowance(
    away_s: float, allowed: int
) -> None:
    budgets = ServiceBudgets(TERMS)
    budgets.note_listed("bookings", LONG_AGO)
    while budgets.of("bookings").count(SERVERS, 0.0).allows_repeat:
        budgets.of("bookings").reserve(1.0)
        budgets.of("bookings").note_ended(1.0, 0.0)
    budgets.note_unlisted("bookings", 0.0)
    budgets.note_listed("bookings", away_s)
    repeats = 0
    while budgets.of("bookings").count(SERVERS, away_s).allows_repeat:
        budgets.of("bookings").reserve(1.0)
        repeats += 1
    assert repeats == allowed


@pytest.mark.parametrize(
    ("sizes", "now", "expected"),
    [
        ([], 0.0, 0),
        ([(0.0, 8)], 50.0, 8),
        ([(0.0, 8), (5.0, 3)], 24.0, 8),
        ([(0.0, 8), (5.0, 3)], 25.0, 3),
        ([(0.0, 8), (5.0, 0)], 24.0, 8),
        ([(0.0, 3), (5.0, 8), (6.0, 5)], 7.0, 8),
        ([(0.0, 2), (1.0, 8)], 2.0, 8),
    ],
)
def test_a_list_that_shrinks_counts_for_a_while(
    sizes: list[tuple[float, int]], now: float, expected: int
) -> None:
    history = SizeHistory(20.0)
    for at, size in sizes:
        history.update({"bookings": size} if size else {}, at)
    assert history.largest("bookings", now) == expected
