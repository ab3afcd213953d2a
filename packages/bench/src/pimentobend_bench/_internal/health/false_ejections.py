"""Benchmark of false ejections: how often a healthy server is ejected."""

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

POLL_INTERVAL_S = 1.0
OUT_WEIGHT = 0.1  # a server counts as out of use at or below this weight
HOUR_S = 3600.0


class Condition(abc.ABC):
    """A condition of the load or the network under which all servers are healthy."""

    name: str

    def shape(self, shape: Shape) -> Shape:
        """Return the shape of the fleet to simulate."""
        return shape

    @abc.abstractmethod
    def apply(self, fleet: Fleet, now: float) -> None:
        """Adjust the load and the paths at ``now`` (seconds)."""


class Noise(Condition):
    """Only log-normal service times; 1 % of stragglers take 30 times as long."""

    name = "noise"

    def apply(self, fleet: Fleet, now: float) -> None:
        """Do nothing."""
        return


class Day(Noise):
    """Noise with fewer daemons and a lower rate, so that a day simulates quickly."""

    name = "day"
    DAEMONS = 8
    RATE = 80.0

    def shape(self, shape: Shape) -> Shape:
        """Return the shape with fewer daemons and a lower rate."""
        return shape._replace(daemons=self.DAEMONS, rate=self.RATE)


class Peak(Condition):
    """A peak of 4 times the mean demand in the first 15 s of each minute."""

    name = "crest"
    PERIOD_S = 60.0
    PEAK_S = 15.0
    RATIO = 4.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Set the rate to the mean or to the peak."""
        is_peak = now % self.PERIOD_S < self.PEAK_S
        fleet.rate = fleet.shape.rate * (self.RATIO if is_peak else 1.0)


class Partition(Condition):
    """Every 3 minutes, far daemons get no responses of near servers for a minute."""

    name = "partition"
    PERIOD_S = 180.0
    PARTITION_S = 60.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Cut or heal the paths from the near servers to the far daemons."""
        if now % self.PERIOD_S >= self.PARTITION_S:
            fleet.paths.heal_all()
            return
        for daemon in fleet.daemons[1::2]:
            for server_id in list(fleet.servers)[::2]:
                fleet.paths.cut(server_id, daemon)


class Rack(Condition):
    """Every 3 minutes, a quarter of the daemons can't reach one server for a minute."""

    name = "rack"
    PERIOD_S = 180.0
    PARTITION_S = 60.0

    def apply(self, fleet: Fleet, now: float) -> None:
        """Cut or heal the paths from these daemons to the server."""
        if now % self.PERIOD_S >= self.PARTITION_S:
            fleet.paths.heal_all()
            return
        for daemon in fleet.daemons[: len(fleet.daemons) // 4]:
            fleet.paths.cut(daemon, "1")


CONDITIONS: Mapping[str, Condition] = {
    condition.name: condition
    for condition in (Noise(), Peak(), Partition(), Rack(), Day())
}


class _LocalEjections:
    """Counts how often a single daemon takes a server out of use."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._out: set[tuple[str, str]] = set()
        self.count = 0

    def poll(self) -> None:
        out = {
            (daemon, server_id)
            for daemon in self._fleet.daemons
            for server_id, weight in self._fleet.policy.weights(daemon).items()
            if weight <= OUT_WEIGHT
        }
        self.count += len(out - self._out)
        self._out = out


class FalseEjectionsCommand(Command):
    """Prints ejections of healthy servers per simulated hour."""

    name = "false-ejections"
    usage = "false-ejections [condition] [service] [hours] [seed]"
    summary = "healthy servers ejected under noise, demand peaks and partitions"

    def run(self, args: Sequence[str]) -> Status:
        """Run one or all conditions but ``day`` on one or all services."""
        names = [args[0]] if args else [name for name in CONDITIONS if name != "day"]
        shapes = [shape for shape in SHAPES if len(args) < 2 or shape.name == args[1]]
        hours = float(args[2]) if len(args) > 2 else 0.5
        seed = int(args[3]) if len(args) > 3 else 1
        print(f"{hours} simulated hours, seed {seed}; all servers are healthy")
        print(f"{'service':13} {'condition':10} {'policy':12} {'attempts':>9} ", end="")
        print(f"{'fleet/h':>8} {'local/h':>8} {'floor':>6}")
        is_missed = False
        for shape in shapes:
            for name in names:
                for policy in (LeasedEjection(), ConsecutiveFailures()):
                    errors = _run(CONDITIONS[name], shape, policy, hours, seed)
                    is_missed |= errors > 0 and isinstance(policy, LeasedEjection)
        return Status.TARGET_MISSED if is_missed else Status.SUCCESS


def _run(
    condition: Condition, shape: Shape, policy: EjectionPolicy, hours: float, seed: int
) -> int:
    """Print a row; return the number of fleet ejections and floor violations."""
    fleet = Fleet(condition.shape(shape), policy, seed)
    floor = FloorWatch(fleet)
    local = _LocalEjections(fleet)
    if isinstance(policy, LeasedEjection):
        policy.on_change = floor.check
    while fleet.scheduler.now < hours * HOUR_S:
        condition.apply(fleet, fleet.scheduler.now)
        fleet.scheduler.run_until(fleet.scheduler.now + POLL_INTERVAL_S)
        local.poll()
        floor.check()
    ejections = len(policy.ejections())
    print(f"{shape.name:13} {condition.name:10} {policy.name:12} ", end="")
    print(f"{sum(fleet.attempts.values()):>9} {ejections / hours:>8.2f} ", end="")
    print(f"{local.count / hours:>8.2f} {len(floor.violations):>6}", flush=True)
    return ejections + len(floor.violations)
