"""Test that all servers together take no more repeats than the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import ServerBudget

TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=60.0)
SERVERS = 8


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
    budgets = [ServerBudget(TERMS) for _ in range(SERVERS)]
    has_restarted = False
    now = 0.0
    taken: list[tuple[float, bool]] = []
    for wait_s, server, is_repeat in steps:
        now += wait_s
        if now >= restart_at and not has_restarted:
            has_restarted = True  # all daemons restart at once and lose their counts
            budgets = [ServerBudget(TERMS) for _ in range(SERVERS)]
        budget = budgets[server]
        if is_repeat and not budget.allows(SERVERS, now):
            continue
        budget.note(now, is_repeat=is_repeat)
        taken.append((now, is_repeat))
        window = [each for at, each in taken if now - at <= TERMS.window_s]
        limit = TERMS.ratio * window.count(False) + TERMS.allowance
        assert window.count(True) <= limit


@pytest.mark.parametrize(("firsts", "repeats"), [(0, 3), (50, 8), (500, 53)])
def test_the_share_of_one_server(firsts: int, repeats: int) -> None:
    budget = ServerBudget(TERMS)
    for _ in range(firsts):
        budget.note(0.0, is_repeat=False)
    allowed = 0
    while budget.allows(SERVERS, 0.0):
        budget.note(0.0, is_repeat=True)
        allowed += 1
    assert allowed == repeats
