"""Benchmark of the time from a server's fault to its ejection."""

import statistics
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.health.faults import Failing
from pimentobend_bench._internal.health.faults import Fault
from pimentobend_bench._internal.health.faults import Flapping
from pimentobend_bench._internal.health.faults import Hanging
from pimentobend_bench._internal.health.faults import Slow
from pimentobend_bench._internal.health.fleet import Fleet
from pimentobend_bench._internal.health.floorwatch import FloorWatch
from pimentobend_bench._internal.health.leased import LeasedEjection
from pimentobend_bench._internal.health.policies import ConsecutiveFailures
from pimentobend_bench._internal.health.policies import EjectionPolicy
from pimentobend_bench._internal.health.policies import RoundRobin
from pimentobend_bench._internal.health.shapes import SHAPES
from pimentobend_bench._internal.health.shapes import Shape

WARM_UP_S = 20.0  # simulated time before the fault begins
LIMIT_S = 30.0  # simulated time after the fault begins
TARGET_S = 3.0
POLL_INTERVAL_S = 0.05
OUT_WEIGHT = 0.1  # a server counts as out of use at or below this weight
FAULTY_SERVER = "3"
ONE_SIDED = "one-sided"

FAULTS: Mapping[str, Callable[[], Fault]] = {
    "slow 5x": lambda: Slow(5.0),
    "half-alive, fails all": lambda: Failing(1.0),
    "half-alive, fails half": lambda: Failing(0.5),
    "half-alive, hangs all": lambda: Hanging(1.0),
    "half-alive, hangs half": lambda: Hanging(0.5),
    "flapping 8 s of 16 s": lambda: Flapping(Slow(5.0), 8.0, 8.0, WARM_UP_S),
}
POLICIES: tuple[Callable[[], EjectionPolicy], ...] = (
    LeasedEjection,
    ConsecutiveFailures,
    RoundRobin,
)


class RunResult(NamedTuple):
    """Measurements of one run."""

    detected_s: float | None  # None if the fault was not detected
    false_ejections: int
    floor_violations: int


class _FirstAttempt:
    """Records the first attempt on the faulty server after its fault began."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.time_s: float | None = None

    def poll(self) -> None:
        if self.time_s is None and self._fleet.attempted_at[FAULTY_SERVER] > WARM_UP_S:
            self.time_s = self._fleet.attempted_at[FAULTY_SERVER]


def measure(kind: str, shape: Shape, policy: EjectionPolicy, seed: int) -> RunResult:
    """Simulate one kind of fault under one policy and return the measurements."""
    fleet = Fleet(shape, policy, seed)
    floor = FloorWatch(fleet)
    fleet.scheduler.run_until(WARM_UP_S)
    is_one_sided = kind == ONE_SIDED
    affected = fleet.daemons[:1] if is_one_sided else fleet.daemons
    if is_one_sided:
        fleet.paths.cut(FAULTY_SERVER, affected[0])
    else:
        fleet.servers[FAULTY_SERVER].fault = FAULTS[kind]()
    detected_s = _run_until_limit(fleet, floor, affected)
    return RunResult(
        detected_s, _false_ejections(fleet, is_one_sided), len(floor.violations)
    )


def _run_until_limit(
    fleet: Fleet, floor: FloorWatch, daemons: Sequence[str]
) -> float | None:
    """Simulate up to the limit; return the seconds from first attempt to detection.

    The fault counts as detected when the mean weight is down to OUT_WEIGHT.
    """
    detected_s = None
    first_attempt = _FirstAttempt(fleet)
    while fleet.scheduler.now < WARM_UP_S + LIMIT_S:
        fleet.scheduler.run_until(fleet.scheduler.now + POLL_INTERVAL_S)
        first_attempt.poll()
        floor.check()
        weight = statistics.mean(
            fleet.weight(daemon, FAULTY_SERVER) for daemon in daemons
        )
        if (
            detected_s is None
            and weight <= OUT_WEIGHT
            and first_attempt.time_s is not None
        ):
            detected_s = fleet.scheduler.now - first_attempt.time_s
    return detected_s


def _false_ejections(fleet: Fleet, is_one_sided: bool) -> int:
    return sum(
        is_one_sided or server_id != FAULTY_SERVER
        for _, server_id in fleet.policy.ejections()
    )


class DetectionCommand(Command):
    """Prints the detection time of each kind of fault, for each policy."""

    name = "detection"
    usage = "detection [runs per row]"
    summary = "time until a faulty server is out of use, compared with two baselines"

    def run(self, args: Sequence[str]) -> Status:
        """Run every kind of fault with seeds from 1 upwards."""
        seeds = range(1, 1 + (int(args[0]) if args else 5))
        is_missed = False
        print("seconds from the first attempt on the faulty server; seeds", list(seeds))
        print(f"{'service':13} {'fault':23} {'policy':12} {'found':>6} ", end="")
        print(f"{'median':>7} {'worst':>7} {'false':>6} {'floor':>6}")
        for shape in SHAPES:
            for kind in (*FAULTS, ONE_SIDED):
                for policy in POLICIES:
                    runs = [measure(kind, shape, policy(), seed) for seed in seeds]
                    _print_row(shape, kind, policy().name, runs)
                    if policy is LeasedEjection:
                        is_missed |= _misses(kind, runs)
        return Status.TARGET_MISSED if is_missed else Status.SUCCESS


def _misses(kind: str, runs: Sequence[RunResult]) -> bool:
    if any(run.floor_violations for run in runs):
        return True
    if not kind.startswith(("slow", "half-alive")):
        return False
    return any(run.detected_s is None or run.detected_s > TARGET_S for run in runs)


def _print_row(shape: Shape, kind: str, policy: str, runs: Sequence[RunResult]) -> None:
    found = sorted(run.detected_s for run in runs if run.detected_s is not None)
    median = f"{statistics.median(found):.2f}" if found else "-"
    worst = f"{found[-1]:.2f}" if len(found) == len(runs) else "never"
    false = sum(run.false_ejections for run in runs)
    floor = sum(run.floor_violations for run in runs)
    print(
        f"{shape.name:13} {kind:23} {policy:12} {len(found):3}/{len(runs):<2} ", end=""
    )
    print(f"{median:>7} {worst:>7} {false:>6} {floor:>6}", flush=True)
