"""Check that ticks per round are bounded and that every pool gets its turn."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_core._internal.health.ticks import TickRounds

POOLS = [f"pool-{number}" for number in range(100)]


@given(
    count=strategies.integers(0, 100),
    urgent=strategies.sets(strategies.sampled_from(POOLS)),
    ticks_per_round=strategies.integers(1, 120),
)
@settings(derandomize=True)
def test_urgent_pools_tick_in_each_round(
    count: int, urgent: set[str], ticks_per_round: int
) -> None:
    pools = POOLS[:count]
    due = TickRounds(ticks_per_round).next_round(pools, urgent)
    assert urgent & set(pools) <= set(due)
    assert len(set(due)) == len(due)
    assert len(due) <= max(ticks_per_round, len(urgent & set(pools)) + 1)


@pytest.mark.parametrize(
    ("count", "ticks_per_round", "rounds"),
    [(8, 50, 1), (100, 50, 2), (100, 30, 4), (3, 1, 3)],
)
def test_every_pool_has_its_turn(count: int, ticks_per_round: int, rounds: int) -> None:
    pools = POOLS[:count]
    ticks = TickRounds(ticks_per_round)
    ticked = {pool for _ in range(rounds) for pool in ticks.next_round(pools, ())}
    assert ticked == set(pools)
