"""Play the retries of many processes to one pool that answers nothing."""

import random
from typing import NamedTuple

import pytest

from pimentobend_core._internal.membership.instances import InstanceCount
from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import InstancesTick
from pimentobend_core._internal.traffic.policy import BudgetedRetries
from pimentobend_core._internal.traffic.retries import FLOOR_CAPACITY_S
from pimentobend_core._internal.traffic.retries import RETRY_FLOOR_PER_S

STEP_S = 0.5
PLAYED_S = 90.0
CUT_S = 45.0
WINDOW_S = 10.0
POOL = "bookings"


class Case(NamedTuple):
    """A fleet, when its processes restart, and what they hear of each other."""

    instances: int
    restart_every_s: float = 1e9
    restarts_at_once: bool = False
    heard_over_s: float = 0.0  # time over which a new process hears of the others
    cut_off_share: float = 0.0  # reported as lost at CUT_S, while they go on
    floor_per_s: float = RETRY_FLOOR_PER_S
    quiet_until_s: float = 0.0  # no retry is needed before


class Process:
    """What one process knows of the fleet, and its retries of one pool."""

    def __init__(self, number: int, epoch: int, floor_per_s: float) -> None:
        self._count = InstanceCount(f"i{number}", epoch)
        self._retries = BudgetedRetries(floor_per_s=floor_per_s)

    def hear(self, message: InstanceFound | InstanceLost, now: float) -> None:
        self._update(message, now)

    def tick(self, now: float) -> None:
        self._update(InstancesTick(), now)

    def retry_while_allowed(self, now: float) -> int:
        count = 0
        while self._retries.may_retry(POOL, now):
            count += 1
        return count

    def _update(
        self, message: InstanceFound | InstanceLost | InstancesTick, now: float
    ) -> None:
        for counted in self._count.handle(message, now):
            self._retries.update_instances(counted.instances, now)


class Fleet:
    """Processes that send to one pool, restart and hear of each other."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._rng = random.Random(1)
        self._numbers = list(range(case.instances))
        self._epochs = [0] * case.instances
        self._starts = [0.0] * case.instances
        self._unheard: list[list[int]] = [[] for _ in self._numbers]
        self._processes = [self._start(number, 0.0) for number in self._numbers]
        self._is_cut = False

    def step(self, now: float) -> int:
        """Return how many retries all processes send at ``now``."""
        if not self._is_cut and now >= CUT_S:
            self._is_cut = True
            self._lose_instances(now)
        count = 0
        for number in self._numbers:
            if now - self._starts[number] >= self._restart_after_s(number):
                self._processes[number] = self._start(number, now)
            self._hear_next(number, now)
            self._processes[number].tick(now)
            if now >= self._case.quiet_until_s:
                count += self._processes[number].retry_while_allowed(now)
        return count

    def _start(self, number: int, now: float) -> Process:
        self._starts[number] = now
        self._epochs[number] += 1
        others = [other for other in self._numbers if other != number]
        self._rng.shuffle(others)
        self._unheard[number] = [*others, number]  # heard from the end
        return Process(number, self._epochs[number], self._case.floor_per_s)

    def _restart_after_s(self, number: int) -> float:
        if self._case.restarts_at_once:
            return self._case.restart_every_s
        return self._case.restart_every_s * (0.5 + 0.5 * number / len(self._numbers))

    def _hear_next(self, number: int, now: float) -> None:
        unheard = self._unheard[number]
        share = 1.0
        if self._case.heard_over_s:
            share = min(1.0, (now - self._starts[number]) / self._case.heard_over_s)
        left = round(len(self._numbers) * (1.0 - share))
        while len(unheard) > left:
            other = unheard.pop()
            found = InstanceFound(f"i{other}", self._epochs[other])
            self._processes[number].hear(found, now)

    def _lose_instances(self, now: float) -> None:
        cut_off = round(self._case.cut_off_share * len(self._numbers))
        for number in self._numbers[cut_off:]:
            for lost in self._numbers[:cut_off]:
                self._processes[number].hear(InstanceLost(f"i{lost}"), now)


@pytest.mark.parametrize(
    "case",
    [
        Case(1),
        Case(1, quiet_until_s=40.0),
        Case(1, restart_every_s=3.0),
        Case(3, heard_over_s=5.0),
        Case(24),
        Case(24, restart_every_s=20.0, restarts_at_once=True),
        Case(24, cut_off_share=0.5, floor_per_s=48.0, quiet_until_s=40.0),
        Case(24, restart_every_s=30.0, heard_over_s=9.0, floor_per_s=48.0),
        Case(300, restart_every_s=20.0, restarts_at_once=True, floor_per_s=600.0),
        Case(300, restart_every_s=60.0, heard_over_s=30.0, floor_per_s=600.0),
        Case(300, cut_off_share=0.9, floor_per_s=600.0, quiet_until_s=40.0),
        Case(600, heard_over_s=30.0),
    ],
)
def test_retries_without_success_stay_within_the_floor_of_the_pool(case: Case) -> None:
    fleet = Fleet(case)
    counts = [fleet.step(step * STEP_S) for step in range(int(PLAYED_S / STEP_S))]
    steps = int(WINDOW_S / STEP_S)
    most = max(sum(counts[i : i + steps]) for i in range(len(counts) - steps))
    assert most <= case.floor_per_s * (WINDOW_S + FLOOR_CAPACITY_S)


@pytest.mark.parametrize(("instances", "expected"), [(1, 10), (3, 9), (10, 10)])
def test_a_small_fleet_retries_without_any_success(
    instances: int, expected: int
) -> None:
    fleet = Fleet(Case(instances))
    for second in range(15):
        assert fleet.step(float(second)) == 0 or second >= 10
    assert fleet.step(20.0) >= expected
