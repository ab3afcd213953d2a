"""Series of stops, reloads and server faults that overlap, for the soak test."""

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
from soak_waves import RollReloads
from soak_waves import RollStops
from soak_waves import RollStopsBeside
from soak_waves import StopStarting
from soak_waves import Targets
from soak_waves import Wave

FIRST_WAVE_S = (1.0, 3.0)  # long requests are at work by then
WAVE_INTERVALS_S = (0.5, 1.5, 3.0)


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
        if process.handles(signal.SIGHUP):
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

    def __init__(self, slow_s: float) -> None:
        self._slow_s = slow_s

    def apply(self, process: Process, duration_s: float) -> None:
        assert process.server is not None
        process.server.hold_s = self._slow_s
        time.sleep(duration_s)
        process.server.hold_s = 0.0


class SeriesTerms(NamedTuple):
    """Waves of a kind of series, and how long its servers work."""

    stop_waves: tuple[Wave, ...]
    slow_s: float  # that a slow server takes for each request besides
    max_hold_s: float  # that a server takes for a request

    @property
    def waves(self) -> tuple[Wave, ...]:
        """Return all waves."""
        return (*self.stop_waves, RollReloads(), StopStarting())


# A stop that comes while the server is at work leaves time for the answer.
ANSWERABLE = SeriesTerms(
    (RollStops(), RollStopsBeside("slow"), RollStopsBeside("drain")), 1.0, 3.0
)
# Servers work beyond the grace time of the daemon beside them.
OUTLASTING = SeriesTerms(
    (
        RollStops(),
        RollStopsBeside("hang"),
        RollStopsBeside("slow"),
        RollStopsBeside("drain"),
    ),
    2.0,
    8.0,
)


def make_series_faults(terms: SeriesTerms) -> dict[str, Fault]:
    """Return new faults for one run, by name."""
    return {
        "stop": Stop(),
        "stop-twice": StopTwice(),
        "reload-stop": ReloadAndStop(),
        "stop-during-start": StopDuringStart(),
        "stop-once-ready": StopOnceReady(),
        "reload": ReloadAnyTime(),
        "hang": HangServerAnyTime(),
        "slow": SlowServer(terms.slow_s),
        "drain": DrainServerAnyTime(),
    }


def make_series(
    seed: int, seconds: float, targets: Targets, terms: SeriesTerms
) -> tuple[ScheduledFault, ...]:
    """Return the faults to inject for a seed, in order of their start.

    Neither two stops of one process overlap nor two faults of one server.
    """
    rng = random.Random(seed)
    faults = make_series_faults(terms)
    schedule: list[ScheduledFault] = []
    free_at: dict[tuple[int, Scope], float] = {}
    now = rng.uniform(*FIRST_WAVE_S)
    wave = rng.choice(terms.stop_waves)
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
        wave = rng.choice(terms.waves)
    return tuple(sorted(schedule))
