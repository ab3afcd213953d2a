"""Test what callers get under whole loads, played in simulated time.

Demand beyond what the servers can run, servers that fail or hang while they look
free, and a service that refuses most of what it is sent.
"""

import random

import pytest
from played_fleet import Condition
from played_fleet import Load
from played_fleet import PlayedFleet

PERIOD_S = 9.0  # how long a server stays in a condition
SICK_SHARE = 0.3
SEEDS = [1, 2]


def sound(server: int, now: float) -> Condition:
    return Condition.SOUND


def some_fail(server: int, now: float) -> Condition:
    period = int((now + server * 1.3) / PERIOD_S)
    is_sick = random.Random(f"{server}-{period}").random() < SICK_SHARE
    return Condition.FAILING if is_sick else Condition.SOUND


def two_hang(server: int, now: float) -> Condition:
    is_hanging = server in (1, 5) and now > 5.0
    return Condition.HANGING if is_hanging else Condition.SOUND


def all_refuse(server: int, now: float) -> Condition:
    return Condition.SHEDDING if 5.0 < now < 14.0 else Condition.SOUND


ORDERS = Load(
    zones=4,
    servers_per_zone=4,
    slots=5,
    per_s=70.0,
    work_s=0.5,
    target_s=4.0,
    deadline_s=5.0,
    length_s=15.0,
)
READS = ORDERS._replace(
    servers_per_zone=2, work_s=0.1, target_s=0.4, deadline_s=1.5, is_repeatable=True
)
OVERLOAD = ORDERS._replace(per_s=200.0, condition=sound)

SERVED = [  # name, load, least share that is served
    ("orders, all servers sound", ORDERS, 0.99),
    ("orders, a third of the servers fail", ORDERS._replace(condition=some_fail), 0.95),
    ("reads, a third of the servers fail", READS._replace(condition=some_fail), 0.95),
    ("orders, two servers hang", ORDERS._replace(condition=two_hang), 0.95),
    ("orders, all servers refuse", ORDERS._replace(condition=all_refuse), 0.95),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("load", "least"), [s[1:] for s in SERVED], ids=[s[0] for s in SERVED]
)
def test_most_callers_are_served(load: Load, least: float, seed: int) -> None:
    assert PlayedFleet(load, seed).play().served >= least


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_beyond_the_capacity_are_told_early_that_nothing_ran(seed: int) -> None:
    outcome = PlayedFleet(OVERLOAD, seed).play()
    capacity_per_s = 16 * OVERLOAD.slots / OVERLOAD.work_s
    assert outcome.refused > outcome.failed
    assert outcome.waited_s < 0.75 * OVERLOAD.deadline_s
    assert outcome.served >= 0.95 * capacity_per_s / OVERLOAD.per_s
