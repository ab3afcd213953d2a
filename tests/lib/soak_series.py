"""Series of stops, reloads and server faults that overlap, for the soak test."""

import abc
import random
import signal
import time
from typing import NamedTuple

from platform_process import Process
from platform_process import wait_until
from soak_faults import RECOVERY_S
from soak_faults import DrainServer
from soak_faults import Fault
from soak_faults import HangServer
from soak_faults import Reload
from soak_faults import ScheduledFault
from soak_faults import Scope
from soak_faults import Stop

FIRST_WAVE_S = (1.0, 3.0)  # long requests are at work by then
WAVE_INTERVALS_S = (0.5, 1.5, 3.0)
ROLL_DISTANCES_S = (0.3, 0.55, 0.8)
MAX_ROLL_S = 8.0
ROLL_SHARES = (0.5, 0.75, 1.0)  # of the instances
SERVER_SHARE = 0.34  # servers that hang, are slow or drain beside a roll
SERVER_FAULT_S = (3.0, 6.0, 9.0)
SLOW_S = 2.0
STARTUP_OFFSETS_S = (0.0, 0.1, 0.3, 0.5, 0.8)
SIGNAL_OFFSETS_S = (0.02, 0.2, 1.0, 2.5)


class StopTwice(Fault):
    """Send a second SIGTERM while the process is in its grace time."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGTERM)
        time.sleep(duration_s)
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()


class ReloadAndStop(Fault):
    """Reload the settings (SIGHUP) and then shut the process down (SIGTERM)."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGHUP)
        time.sleep(duration_s)
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()


class StopDuringStart(Fault):
    """Restart a process, and shut it down again while it is starting."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()
        time.sleep(duration_s)
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()


class StopOnceReady(Fault):
    """Restart a process, and shut it down again as soon as it is ready."""

    applies_to_control = False

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()
        wait_until(process.is_ready, "a restarted instance is ready")
        process.signal(signal.SIGTERM)
        process.wait()
        process.start()


class ReloadAnyTime(Reload):
    """Send SIGHUP, also to a process that is starting or stopping."""

    scope = Scope.NONE

    def apply(self, process: Process, duration_s: float) -> None:
        if not process.is_booting():
            process.signal(signal.SIGHUP)


class HangServerAnyTime(HangServer):
    """Make a server stop answering, also while its daemon stops and starts."""

    scope = Scope.SERVER


class DrainServerAnyTime(DrainServer):
    """Drain a server, also while its daemon stops and starts."""

    scope = Scope.SERVER


class SlowServer(Fault):
    """Make the server of a process take longer for each request."""

    applies_to_control = False
    scope = Scope.SERVER

    def apply(self, process: Process, duration_s: float) -> None:
        assert process.server is not None
        process.server.hold_s = SLOW_S
        time.sleep(duration_s)
        process.server.hold_s = 0.0


def make_series_faults() -> dict[str, Fault]:
    """Return new faults for one run, by name."""
    return {
        "stop": Stop(),
        "stop-twice": StopTwice(),
        "reload-stop": ReloadAndStop(),
        "stop-during-start": StopDuringStart(),
        "stop-once-ready": StopOnceReady(),
        "reload": ReloadAnyTime(),
        "hang": HangServerAnyTime(),
        "slow": SlowServer(),
        "drain": DrainServerAnyTime(),
    }


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


STOP_WAVES: tuple[Wave, ...] = (
    RollStops(),
    RollStopsBeside("hang"),
    RollStopsBeside("slow"),
    RollStopsBeside("drain"),
)
WAVES = (*STOP_WAVES, RollReloads(), StopStarting())


def make_series(
    seed: int, seconds: float, targets: Targets
) -> tuple[ScheduledFault, ...]:
    """Return the faults to inject for a seed, in order of their start.

    Neither two stops of one process overlap nor two faults of one server.
    """
    rng = random.Random(seed)
    faults = make_series_faults()
    schedule: list[ScheduledFault] = []
    free_at: dict[tuple[int, Scope], float] = {}
    now = rng.uniform(*FIRST_WAVE_S)
    wave = rng.choice(STOP_WAVES)
    while now < seconds:
        for scheduled in sorted(wave.schedule(rng, targets, now)):
            fault = faults[scheduled.fault]
            key = (scheduled.process_index, fault.scope)
            is_free = scheduled.start_s >= free_at.get(key, 0.0)
            if scheduled.start_s >= seconds or not is_free:
                continue
            schedule.append(scheduled)
            lasts_s = scheduled.duration_s + RECOVERY_S
            if fault.scope is Scope.PROCESS:
                lasts_s += targets.grace_s
            if fault.scope is not Scope.NONE:
                free_at[key] = scheduled.start_s + lasts_s
        now += rng.choice(WAVE_INTERVALS_S)
        wave = rng.choice(WAVES)
    return tuple(sorted(schedule))


def _choose(
    rng: random.Random, indices: tuple[int, ...], share: float
) -> tuple[int, ...]:
    return tuple(rng.sample(indices, max(1, round(share * len(indices)))))
