"""Faults that the soak test injects into a fleet of real processes."""

import abc
import enum
import random
import shutil
import signal
import time
from collections.abc import Mapping
from typing import NamedTuple

from fault_proxy import ConnectionFault
from fault_proxy import FaultProxy
from platform_process import Process
from platform_process import wait_until

FAULT_INTERVALS_S = (0.3, 0.8, 2.0)  # shorter than some faults: several may overlap
FAULT_DURATIONS_S = (0.2, 1.0, 3.0)
# Shortest time between the end of a fault and the next one of the same process.
RECOVERY_S = 2.0
DRAIN_GRACE_S = 2.5  # a draining server may get new requests for this long


class ScheduledFault(NamedTuple):
    """Fault to inject into one process, with its start and duration."""

    start_s: float  # since the start of the schedule
    fault: str  # key of make_faults()
    process_index: int  # in Fleet.processes
    duration_s: float


class FaultInterval(NamedTuple):
    """Time during which a fault was active, in seconds of the monotonic clock."""

    fault: str
    process: Process
    started_at: float
    ended_at: float


class Scope(enum.Enum):
    """Part of a fleet on which faults must not overlap."""

    PROCESS = "process"
    SERVER = "server"
    NONE = "none"  # the fault may overlap with all others


class Fault(abc.ABC):
    """Fault that can be injected into a process from outside and undone."""

    applies_to_control = True
    applies_to_instance = True
    scope = Scope.PROCESS

    @abc.abstractmethod
    def apply(self, process: Process, duration_s: float) -> None:
        """Inject the fault, keep it up for ``duration_s`` and undo it."""

    def applies_to(self, is_control: bool) -> bool:
        """Return whether a process with or without the control role can get it."""
        return self.applies_to_control if is_control else self.applies_to_instance


class Kill(Fault):
    """Kill a process (SIGKILL) and restart it."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.kill()
        time.sleep(duration_s)
        process.start()


class Stop(Fault):
    """Shut a process down (SIGTERM), wait until it has ended and restart it."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGTERM)
        process.wait()
        time.sleep(duration_s)
        process.start()


class Pause(Fault):
    """Suspend a process (SIGSTOP) and resume it (SIGCONT)."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGSTOP)
        time.sleep(duration_s)
        process.signal(signal.SIGCONT)


class LoseDisk(Fault):
    """Kill a process and restart it, a control instance without its data.

    Only the first control instance of a run loses its data, as the fleet
    doesn't tolerate the loss of more than one disk.
    """

    def __init__(self) -> None:
        self._has_lost_disk = False

    def apply(self, process: Process, duration_s: float) -> None:
        process.kill()
        if process.is_control and not self._has_lost_disk:
            self._has_lost_disk = True
            shutil.rmtree(process.folder / "data", ignore_errors=True)
        time.sleep(duration_s)
        process.start()


class FullDisk(Fault):
    """Make writes fail that grow a file beyond the size of the largest data file."""

    applies_to_instance = False

    def apply(self, process: Process, duration_s: float) -> None:
        files = (process.folder / "data").rglob("*")
        sizes = [path.stat().st_size for path in files if path.is_file()]
        process.limit_files(max(sizes, default=0))
        time.sleep(duration_s)
        process.limit_files(None)


class Reload(Fault):
    """Make a process reload its settings (SIGHUP)."""

    def apply(self, process: Process, duration_s: float) -> None:
        process.signal(signal.SIGHUP)
        time.sleep(duration_s)
        # A SIGHUP before the daemon has installed its handler ends the daemon.
        if process.has_ended():
            process.start()


class HangServer(Fault):
    """Make the backend server of a process stop answering requests."""

    applies_to_control = False

    def apply(self, process: Process, duration_s: float) -> None:
        assert process.server is not None
        process.server.hangs = True
        time.sleep(duration_s)
        process.server.hangs = False


class DrainServer(Fault):
    """Drain the backend server of a process and replace it by a new one."""

    applies_to_control = False

    def apply(self, process: Process, duration_s: float) -> None:
        server = process.server
        assert server is not None
        server.state = "draining"
        wait_until(
            lambda: server.beat() == 200, "the daemon accepts a draining heartbeat"
        )
        acknowledged_at = time.monotonic()
        time.sleep(DRAIN_GRACE_S + duration_s)
        server.drained.append((acknowledged_at + DRAIN_GRACE_S, time.monotonic()))
        server.restart()


class DisruptConnections(Fault):
    """Disrupt the connections to a process's server or from its callers."""

    applies_to_control = False

    def __init__(self, fault: ConnectionFault, *, from_callers: bool) -> None:
        self._fault = fault
        self._from_callers = from_callers

    def apply(self, process: Process, duration_s: float) -> None:
        proxy: FaultProxy = process.to_server
        if self._from_callers:
            proxy = process.to_callers
        proxy.set_fault(self._fault)
        time.sleep(duration_s)
        proxy.set_fault(ConnectionFault.NONE)


def make_faults() -> dict[str, Fault]:
    """Return new faults for one run, by name.

    Their order is part of the schedule that a seed gives.
    """
    faults: dict[str, Fault] = {
        "kill": Kill(),
        "stop": Stop(),
        "pause": Pause(),
        "wipe": LoseDisk(),
        "full-disk": FullDisk(),
        "reload": Reload(),
        "hang": HangServer(),
        "drain": DrainServer(),
    }
    for fault in ConnectionFault:
        if fault is not ConnectionFault.NONE:
            faults[f"callers-{fault.value}"] = DisruptConnections(
                fault, from_callers=True
            )
            faults[f"server-{fault.value}"] = DisruptConnections(
                fault, from_callers=False
            )
    return faults


def make_schedule(
    seed: int,
    seconds: float,
    are_control: tuple[bool, ...],
    faults: Mapping[str, Fault] | None = None,
) -> tuple[ScheduledFault, ...]:
    """Return the faults to inject for a seed, in order of their start.

    Faults of the same process don't overlap. ``are_control`` tells for each
    process whether it has the control role; all faults are chosen from by default.
    """
    rng = random.Random(seed)
    faults = make_faults() if faults is None else faults
    schedule: list[ScheduledFault] = []
    free_at = [0.0] * len(are_control)
    now = 0.0
    while True:
        now += rng.choice(FAULT_INTERVALS_S)
        if now >= seconds:
            return tuple(schedule)
        process_index = rng.randrange(len(are_control))
        candidates = [
            name
            for name, fault in faults.items()
            if fault.applies_to(are_control[process_index])
        ]
        scheduled = ScheduledFault(
            now, rng.choice(candidates), process_index, rng.choice(FAULT_DURATIONS_S)
        )
        if now >= free_at[process_index]:
            free_at[process_index] = now + scheduled.duration_s + RECOVERY_S
            schedule.append(scheduled)
