"""Check that a seed of the soak always gives the same schedule."""

import pytest
from fleet_soak import FAULTS
from fleet_soak import make_schedule


@pytest.mark.parametrize("seed", range(5))
def test_a_seed_gives_one_schedule(seed: int) -> None:
    schedule = make_schedule(seed, 30.0, 5)
    assert schedule == make_schedule(seed, 30.0, 5)
    assert schedule != make_schedule(seed + 1, 30.0, 5)
    assert {step.fault for step in schedule} <= set(FAULTS)


@pytest.mark.parametrize("seed", range(5))
def test_faults_of_one_process_do_not_overlap(seed: int) -> None:
    until = dict.fromkeys(range(5), 0.0)
    for step in make_schedule(seed, 60.0, 5):
        assert step.at_s >= until[step.process]
        until[step.process] = step.at_s + step.down_s
