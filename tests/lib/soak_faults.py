"""Define the faults that the soak lets a fleet of real processes meet."""

import abc
import random
import shutil
import signal
import time
from typing import NamedTuple

from fault_proxy import FaultProxy
from fault_proxy import Harm
from platform_fleet import Process
from platform_fleet import wait_until

PAUSES_S = (0.3, 0.8, 2.0)  # between faults; several may be on at once
DOWN_S = (0.2, 1.0, 3.0)
SETTLE_S = 2.0  # between two faults of one process
DRAIN_S = 2.5  # then a draining server gets no new work


class Step(NamedTuple):
    """Hold one fault: what, to which process, when, and for how long."""

    at_s: float
    fault: str
    process: int  # its place in the fleet's list
    down_s: float


class Span(NamedTuple):
    """Hold when a fault was on, in seconds of the steady clock."""

    fault: str
    process: Process
    began: float
    ended: float


class Fault(abc.ABC):
    """Harm a process from outside and make it good again."""

    on_control = True
    on_instance = True

    @abc.abstractmethod
    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""

    def fits(self, is_control: bool) -> bool:
        """Say whether a process of a role can meet the fault."""
        return self.on_control if is_control else self.on_instance


class Kill(Fault):
    """End a process at once and start it again."""

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        process.kill()
        time.sleep(down_s)
        process.start()


class Stop(Fault):
    """Ask a process to stop and start it again once it has."""

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        process.signal(signal.SIGTERM)
        process.wait()
        time.sleep(down_s)
        process.start()


class Pause(Fault):
    """Let a process stand still."""

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        process.signal(signal.SIGSTOP)
        time.sleep(down_s)
        process.signal(signal.SIGCONT)


class Wipe(Fault):
    """Lose a disk, once in a run: more than one is not to be borne."""

    def __init__(self) -> None:
        self._is_spent = False

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        process.kill()
        if process.is_control and not self._is_spent:
            self._is_spent = True
            shutil.rmtree(process.folder / "data", ignore_errors=True)
        time.sleep(down_s)
        process.start()


class FullDisk(Fault):
    """Refuse writes beyond the size that the largest file has."""

    on_instance = False

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        files = (process.folder / "data").rglob("*")
        sizes = [each.stat().st_size for each in files if each.is_file()]
        process.limit_files(max(sizes, default=0))
        time.sleep(down_s)
        process.limit_files(None)


class Reload(Fault):
    """Tell a process that its settings have changed."""

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        process.signal(signal.SIGHUP)
        time.sleep(down_s)
        if process.has_ended():  # it came before the program could take it
            process.start()


class Hang(Fault):
    """Let the server beside a process answer nothing."""

    on_control = False

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        assert process.server is not None
        process.server.hangs = True
        time.sleep(down_s)
        process.server.hangs = False


class Drain(Fault):
    """Let the server beside a process leave, and another one take its place."""

    on_control = False

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        server = process.server
        assert server is not None
        server.state = "draining"
        wait_until(lambda: server.beat() == 200, "the daemon takes a last heartbeat")
        acknowledged = time.monotonic()
        time.sleep(DRAIN_S + down_s)
        server.drained.append((acknowledged + DRAIN_S, time.monotonic()))
        server.begin_again()


class HarmedPath(Fault):
    """Harm the connections to a process' server or from its callers."""

    on_control = False

    def __init__(self, harm: Harm, *, of_callers: bool) -> None:
        self._harm = harm
        self._of_callers = of_callers

    def apply(self, process: Process, down_s: float) -> None:
        """Harm a process for a time."""
        proxy: FaultProxy = process.to_server
        if self._of_callers:
            proxy = process.to_callers
        proxy.set_harm(self._harm)
        time.sleep(down_s)
        proxy.set_harm(Harm.NONE)


def make_faults() -> dict[str, Fault]:
    """Return the faults of one run by name."""
    faults: dict[str, Fault] = {
        "kill": Kill(),
        "stop": Stop(),
        "pause": Pause(),
        "wipe": Wipe(),
        "full-disk": FullDisk(),
        "reload": Reload(),
        "hang": Hang(),
        "drain": Drain(),
    }
    for harm in Harm:
        if harm is not Harm.NONE:
            faults[f"callers-{harm.value}"] = HarmedPath(harm, of_callers=True)
            faults[f"server-{harm.value}"] = HarmedPath(harm, of_callers=False)
    return faults


def make_schedule(
    seed: int, seconds: float, are_control: tuple[bool, ...]
) -> tuple[Step, ...]:
    """Return the faults of a seed, with time between those of one process.

    ``are_control`` says for each process whether its role is control.
    """
    rng = random.Random(seed)
    faults = make_faults()
    steps: list[Step] = []
    free_at = [0.0] * len(are_control)
    now = 0.0
    while True:
        now += rng.choice(PAUSES_S)
        if now >= seconds:
            return tuple(steps)
        process = rng.randrange(len(are_control))
        fitting = [name for name, f in faults.items() if f.fits(are_control[process])]
        step = Step(now, rng.choice(fitting), process, rng.choice(DOWN_S))
        if now >= free_at[process]:
            free_at[process] = now + step.down_s + SETTLE_S
            steps.append(step)
