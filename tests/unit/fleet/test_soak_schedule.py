"""Check that a seed of the soak always gives the same schedule."""

import pytest
from soak_faults import make_faults
from soak_faults import make_schedule

ARE_CONTROL = (True, True, True, False, False)


@pytest.mark.parametrize("seed", range(5))
def test_a_seed_gives_one_schedule(seed: int) -> None:
    schedule = make_schedule(seed, 30.0, ARE_CONTROL)
    assert schedule == make_schedule(seed, 30.0, ARE_CONTROL)
    assert schedule != make_schedule(seed + 1, 30.0, ARE_CONTROL)
    faults = make_faults()
    for step in schedule:
        assert faults[step.fault].fits(ARE_CONTROL[step.process])


@pytest.mark.parametrize("seed", range(5))
def test_faults_of_one_process_do_not_overlap(seed: int) -> None:
    until = dict.fromkeys(range(5), 0.0)
    for step in make_schedule(seed, 60.0, ARE_CONTROL):
        assert step.at_s >= until[step.process]
        until[step.process] = step.at_s + step.down_s
