"""Make tables and spread them over a fake network of followers."""

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
    """Return a route that differs from others by its number."""
    return Route(f"r{number}", "*", f"/{number}", (), "p", True, timeout_ms)


def make_pool(name: str = "p") -> Pool:
    """Return a pool."""
    return Pool(name, "catalogue", 0.75, 256, False)


class Spread(NamedTuple):
    """Hold a message on its way."""

    sender: str
    recipient: str
    message: SpreadMessage


class Tree:
    """Own a root that accepts versions and the followers below it."""

    def __init__(self, sources: dict[str, tuple[str, ...]]) -> None:
        self.now = 0.0
        self.flights: list[Spread] = []
        self.accepted: dict[Version, WholeTables] = {}
        self.deltas: list[VersionedDelta] = []
        self.down: set[str] = set()
        self._sources = {ROOT: (), **sources}
        self._tables = VersionedTables()
        self.followers = {
            name: TablesFollower(above, 0.0) for name, above in self._sources.items()
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
        """Let a follower take a message, and check that it does not go back."""
        if name in self.down:
            return
        follower = self.followers[name]
        before = follower.in_force
        for output in follower.handle(message, self.now):
            if isinstance(output, SpreadSent):
                self.flights.append(Spread(name, output.recipient, output.message))
        assert follower.in_force >= before, "a follower went back"
        if follower.in_force == follower.tables.version and follower.in_force[1]:
            assert follower.tables.whole() == self.accepted[follower.in_force]

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver a message on its way; with ``keep`` it will come once more."""
        spread = self.flights[position]
        if not keep:
            del self.flights[position]
        received = SpreadReceived(spread.sender, spread.message)
        self.handle(spread.recipient, received)

    def restart(self, name: str) -> None:
        """Start a follower without any tables."""
        self.down.discard(name)
        self.followers[name] = TablesFollower(self._sources[name], self.now)

    def run(self, seconds: float) -> None:
        """Let time pass with a network that delivers everything."""
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            for name in self.followers:
                self.handle(name, FollowerTick())
            while self.flights:
                self.deliver(0)
