"""Count healthy servers that are ejected by mistake."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.health.fleet import Fleet
from pimentobend_bench._internal.health.floorwatch import FloorWatch
from pimentobend_bench._internal.health.leased import LeasedEjection
from pimentobend_bench._internal.health.policies import ConsecutiveFailures
from pimentobend_bench._internal.health.policies import EjectionPolicy
from pimentobend_bench._internal.health.shapes import SHAPES
from pimentobend_bench._internal.health.shapes import Shape

POLL_S = 1.0
OUT_WEIGHT = 0.1
HOUR_S = 3600.0


class Condition(abc.ABC):
    """Put healthy servers under some strain."""

    name: str

    def shape(self, shape: Shape) -> Shape:
        """Return the fleet to strain."""
        return shape

    @abc.abstractmethod
    def apply(self, fleet: Fleet, now: float) -> None:
        """Change the strain at ``now`` (seconds)."""


class Noise(Condition):
    """Leave log-normal latencies and 1 % of stragglers 30 times as long."""

    name = "noise"

    def apply(self, fleet: Fleet, now: float) -> None:
        """Change nothing."""
        return


class Day(Noise):
    """Run fewer daemons at a lower rate, so that a day is soon over."""

    name = "day"
    DAEMONS = 8
    RATE = 80.0

    def shape(self, shape: Shape) -> Shape:
        """Return a smaller fleet."""
        return shape._replace(daemons=self.DAEMONS, rate=self.RATE)


class Crest(Condition):
    """Multiply the demand for some seconds of each minute."""

    name = "crest"
    PERIOD_S = 60.0
    CREST_S = 15.0
    RATIO = 4.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Switch between the mean demand and the crest."""
        is_crest = now % self.PERIOD_S < self.CREST_S
        fleet.rate = fleet.shape.rate * (self.RATIO if is_crest else 1.0)


class Partition(Condition):
    """Let the far region's daemons lose the near servers' answers at times."""

    name = "partition"
    PERIOD_S = 180.0
    PARTITION_S = 60.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Cut one way between the regions, or heal it."""
        if now % self.PERIOD_S >= self.PARTITION_S:
            fleet.paths.heal_all()
            return
        for daemon in fleet.daemons[1::2]:
            for server_id in list(fleet.servers)[::2]:
                fleet.paths.cut(server_id, daemon)


class Rack(Condition):
    """Cut a quarter of the daemons off from one server at times."""

    name = "rack"
    PERIOD_S = 180.0
    PARTITION_S = 60.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Cut or heal the paths."""
        if now % self.PERIOD_S >= self.PARTITION_S:
            fleet.paths.heal_all()
            return
        for daemon in fleet.daemons[: len(fleet.daemons) // 4]:
            fleet.paths.cut(daemon, "1")


CONDITIONS: Mapping[str, Condition] = {
    condition.name: condition
    for condition in (Noise(), Crest(), Partition(), Rack(), Day())
}


class _Counts:
    """Count how often a daemon takes a healthy server out of use."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._out: set[tuple[str, str]] = set()
        self.local = 0

    def poll(self) -> None:
        out = {
            (daemon, server_id)
            for daemon in self._fleet.daemons
            for server_id, weight in self._fleet.policy.weights(daemon).items()
            if weight <= OUT_WEIGHT
        }
        self.local += len(out - self._out)
        self._out = out


class FalseEjectionsCommand(Command):
    """Print ejections of healthy servers per hour."""

    name = "false-ejections"
    usage = "false-ejections [condition] [service] [hours] [seed]"
    summary = "healthy servers ejected under noise, crest and partition"

    def run(self, args: Sequence[str]) -> Status:
        """Run one or all conditions on one or all services."""
        names = [args[0]] if args else [name for name in CONDITIONS if name != "day"]
        shapes = [each for each in SHAPES if len(args) < 2 or each.name == args[1]]
        hours = float(args[2]) if len(args) > 2 else 0.5
        seed = int(args[3]) if len(args) > 3 else 1
        print(f"{hours} simulated hours, seed {seed}; no server is sick")
        print(f"{'service':13} {'condition':10} {'policy':12} {'attempts':>9} ", end="")
        print(f"{'fleet/h':>8} {'local/h':>8} {'floor':>6}")
        is_missed = False
        for shape in shapes:
            for name in names:
                for policy in (LeasedEjection(), ConsecutiveFailures()):
                    count = _run(CONDITIONS[name], shape, policy, hours, seed)
                    is_missed |= count > 0 and isinstance(policy, LeasedEjection)
        return Status.TARGET_MISSED if is_missed else Status.SUCCESS


def _run(
    condition: Condition, shape: Shape, policy: EjectionPolicy, hours: float, seed: int
) -> int:
    fleet = Fleet(condition.shape(shape), policy, seed)
    floor = FloorWatch(fleet)
    counts = _Counts(fleet)
    if isinstance(policy, LeasedEjection):
        policy.on_change = floor.check
    while fleet.scheduler.now < hours * HOUR_S:
        condition.apply(fleet, fleet.scheduler.now)
        fleet.scheduler.run_until(fleet.scheduler.now + POLL_S)
        counts.poll()
        floor.check()
    ejections = len(policy.ejections())
    print(f"{shape.name:13} {condition.name:10} {policy.name:12} ", end="")
    print(f"{sum(fleet.attempts.values()):>9} {ejections / hours:>8.2f} ", end="")
    print(f"{counts.local / hours:>8.2f} {len(floor.violations):>6}", flush=True)
    return ejections + len(floor.violations)
