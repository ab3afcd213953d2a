"""Check the schedule of the soak: reproducible from its seed, without overlaps."""

import pytest
from soak_faults import make_faults
from soak_faults import make_schedule

ARE_CONTROL = (True, True, True, False, False)


@pytest.mark.parametrize("seed", range(5))
def test_seed_determines_the_schedule(seed: int) -> None:
    schedule = make_schedule(seed, 30.0, ARE_CONTROL)
    assert schedule == make_schedule(seed, 30.0, ARE_CONTROL)
    assert schedule != make_schedule(seed + 1, 30.0, ARE_CONTROL)
    faults = make_faults()
    for scheduled in schedule:
        assert faults[scheduled.fault].applies_to(ARE_CONTROL[scheduled.process_index])


@pytest.mark.parametrize("seed", range(5))
def test_faults_of_one_process_do_not_overlap(seed: int) -> None:
    ends = dict.fromkeys(range(5), 0.0)
    for scheduled in make_schedule(seed, 60.0, ARE_CONTROL):
        assert scheduled.start_s >= ends[scheduled.process_index]
        ends[scheduled.process_index] = scheduled.start_s + scheduled.duration_s
