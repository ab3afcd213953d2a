"""Sample tables and a fake network that replicates them to daemons."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.follower import TablesFollower
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import FollowerInput
from pimentobend_core._internal.configuration.follower_messages import FollowerTick
from pimentobend_core._internal.configuration.follower_messages import SpreadMessage
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import SpreadSent
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.versioned import VersionedTables
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

ROOT = "root"


def make_route(number: int, timeout_ms: int = 1000) -> Route:
    """Return a route whose name and path contain ``number``."""
    return Route(f"r{number}", "*", f"/{number}", (), "p", True, timeout_ms)


def make_pool(name: str = "p") -> Pool:
    """Return a pool of the service ``catalogue``."""
    return Pool(name, "catalogue", 0.75, 256, False)


class InFlight(NamedTuple):
    """A message that was sent and not yet delivered."""

    sender: str
    recipient: str
    message: SpreadMessage


class Tree:
    """Simulate a root that accepts versions, and daemons that replicate them.

    ``sources`` names, for each daemon, the ones that it polls for new versions.
    """

    def __init__(self, sources: dict[str, tuple[str, ...]]) -> None:
        self.now = 0.0
        self.in_flight: list[InFlight] = []
        self.accepted: dict[Version, WholeTables] = {}
        self.deltas: list[VersionedDelta] = []
        self.down: set[str] = set()
        self._sources = {ROOT: (), **sources}
        self._tables = VersionedTables()
        self.followers = {
            name: TablesFollower(polled, 0.0) for name, polled in self._sources.items()
        }

    def accept(self, *routes: Route) -> Version:
        """Let the root accept a version with these routes."""
        delta = self._tables.diff(routes, (make_pool(),))
        version = Version(1, self._tables.version.log_index + 1)
        self._tables.apply(delta, version)
        self.accepted[version] = self._tables.whole()
        versioned = VersionedDelta(version, self._tables.digest, delta)
        self.deltas.append(versioned)
        self.handle(ROOT, SpreadReceived(ROOT, Deltas((versioned,))))
        return version

    def handle(self, name: str, message: FollowerInput) -> None:
        """Deliver a message and check that the version does not decrease."""
        if name in self.down:
            return
        follower = self.followers[name]
        before = follower.in_force
        for output in follower.handle(message, self.now):
            if isinstance(output, SpreadSent):
                self.in_flight.append(InFlight(name, output.recipient, output.message))
        assert follower.in_force >= before, (
            f"{name}: the version decreased from {before} to {follower.in_force}"
        )
        if follower.in_force == follower.tables.version and follower.in_force[1]:
            assert follower.tables.whole() == self.accepted[follower.in_force]

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver a message in flight; with ``keep`` it is delivered again later."""
        in_flight = self.in_flight[position]
        if not keep:
            del self.in_flight[position]
        received = SpreadReceived(in_flight.sender, in_flight.message)
        self.handle(in_flight.recipient, received)

    def restart(self, name: str) -> None:
        """Restart a follower without stored tables."""
        self.down.discard(name)
        self.followers[name] = TablesFollower(self._sources[name], self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` while every message is delivered."""
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            for name in self.followers:
                self.handle(name, FollowerTick())
            while self.in_flight:
                self.deliver(0)
