"""The simulated fleet that a scenario runs on."""

from pimentobend_bench._internal.health.fleet import Fleet
from pimentobend_bench._internal.health.floorwatch import FloorWatch
from pimentobend_bench._internal.health.leased import LeasedEjection
from pimentobend_bench._internal.health.shapes import QALAMKAR
from scenario.language import options

POLL_S = 0.05  # simulated time between two checks of the expectations


class World:
    """Simulate the servers, daemons and control replicas of one pool."""

    def __init__(self, name: str, words: tuple[str, ...], seed: int = 1) -> None:
        settings = options(words)
        self.shape = QALAMKAR._replace(
            name=name,
            service=name,
            servers=int(settings.get("servers", "8")),
            slots=int(settings.get("slots", "6")),
            floor=float(settings.get("floor", "0.5")),
            daemons=int(settings.get("daemons", "8")),
            rate=float(settings.get("rate", "240")),
        )
        self.policy = LeasedEjection()
        self.fleet = Fleet(self.shape, self.policy, seed)
        self.floor = FloorWatch(self.fleet)
        self.policy.on_change = self.floor.check

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.fleet.scheduler.now

    def run_to(self, time_s: float) -> None:
        """Advance the simulated time to ``time_s`` and check the floor."""
        self.fleet.scheduler.run_until(time_s)
        self.floor.check()

    def server_ids(self, word: str) -> tuple[str, ...]:
        """Return the server ids for a word such as ``3``, ``1-4`` or ``all``."""
        if word == "all":
            return tuple(self.fleet.servers)
        first, _, last = word.partition("-")
        return tuple(str(n) for n in range(int(first), int(last or first) + 1))

    def daemons(self, word: str) -> tuple[str, ...]:
        """Return the daemon ids for a word such as ``d1``, ``d1-d4`` or ``all``."""
        if word == "all":
            return self.fleet.daemons
        first, _, last = word.partition("-")
        numbers = range(int(first[1:]), int((last or first)[1:]) + 1)
        return tuple(f"d{number}" for number in numbers)
