"""Waves of faults that the series of the soak test consist of."""

import abc
import random
from typing import NamedTuple

from soak_faults import ScheduledFault

ROLL_DISTANCES_S = (0.3, 0.55, 0.8)
MAX_ROLL_S = 8.0
ROLL_SHARES = (0.5, 0.75, 1.0)  # of the instances
SERVER_SHARE = 0.34  # servers that hang, are slow or drain beside a roll
SERVER_FAULT_S = (3.0, 6.0, 9.0)
STARTUP_OFFSETS_S = (0.0, 0.1, 0.3, 0.5, 0.8)
SIGNAL_OFFSETS_S = (0.02, 0.2, 1.0, 2.5)


class Targets(NamedTuple):
    """Processes by their index in Fleet.processes, and the grace time of a stop."""

    control: tuple[int, ...]
    instances: tuple[int, ...]
    grace_s: float


class Wave(abc.ABC):
    """Faults of several processes that follow one another at a short distance."""

    @abc.abstractmethod
    def schedule(
        self, rng: random.Random, targets: Targets, start_s: float
    ) -> list[ScheduledFault]:
        """Return the faults of one wave that starts at ``start_s``."""


class RollStops(Wave):
    """Stop most instances one after another, faster than each of them ends."""

    def schedule(
        self, rng: random.Random, targets: Targets, start_s: float
    ) -> list[ScheduledFault]:
        order = _choose(rng, targets.instances, rng.choice(ROLL_SHARES))
        distance_s = min(rng.choice(ROLL_DISTANCES_S), MAX_ROLL_S / len(order))
        faults = ["stop", "stop", "stop-twice", "reload-stop"]
        return [
            ScheduledFault(
                start_s + number * distance_s,
                rng.choice(faults),
                index,
                rng.choice(SIGNAL_OFFSETS_S),
            )
            for number, index in enumerate(order)
        ]


class RollStopsBeside(Wave):
    """Stop most instances while some servers hang, are slow or drain."""

    def __init__(self, server_fault: str) -> None:
        self._server_fault = server_fault

    def schedule(
        self, rng: random.Random, targets: Targets, start_s: float
    ) -> list[ScheduledFault]:
        indices = _choose(rng, targets.instances, SERVER_SHARE)
        duration_s = rng.choice(SERVER_FAULT_S)
        roll_start_s = start_s + rng.choice(SIGNAL_OFFSETS_S)
        return [
            *(
                ScheduledFault(start_s, self._server_fault, index, duration_s)
                for index in indices
            ),
            *RollStops().schedule(rng, targets, roll_start_s),
        ]


class RollReloads(Wave):
    """Send SIGHUP to all processes one after another, twice."""

    def schedule(
        self, rng: random.Random, targets: Targets, start_s: float
    ) -> list[ScheduledFault]:
        order = 2 * _choose(rng, targets.control + targets.instances, 1.0)
        distance_s = min(rng.choice(ROLL_DISTANCES_S) / 4, MAX_ROLL_S / len(order))
        return [
            ScheduledFault(start_s + number * distance_s, "reload", index, 0.0)
            for number, index in enumerate(order)
        ]


class StopStarting(Wave):
    """Stop some processes that are starting or have just become ready."""

    def schedule(
        self, rng: random.Random, targets: Targets, start_s: float
    ) -> list[ScheduledFault]:
        indices = _choose(rng, targets.instances, SERVER_SHARE)
        faults = [
            ScheduledFault(
                start_s,
                rng.choice(("stop-during-start", "stop-once-ready")),
                index,
                rng.choice(STARTUP_OFFSETS_S),
            )
            for index in indices
        ]
        control = rng.choice(targets.control)
        offset_s = rng.choice(STARTUP_OFFSETS_S)
        return [
            *faults,
            ScheduledFault(start_s, "stop-during-start", control, offset_s),
        ]


def _choose(
    rng: random.Random, indices: tuple[int, ...], share: float
) -> tuple[int, ...]:
    return tuple(rng.sample(indices, max(1, round(share * len(indices)))))
