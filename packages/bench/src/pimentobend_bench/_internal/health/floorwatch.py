"""Check the floor at every change of weights."""

from pimentobend_bench._internal.health.fleet import Fleet
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.models.server import ServerState

_ROUNDING = 1e-6


class FloorWatch:
    """Count moments at which ejection takes more than the floor lets go."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.violations: list[str] = []

    def check(self) -> None:
        """Compare the weights of all daemons with the floor."""
        ready = [
            server_id
            for server_id, server in self._fleet.servers.items()
            if server.server.state is ServerState.READY
        ]
        required = required_servers(self._fleet.shape.floor, len(self._fleet.servers))
        kept = min(required, len(ready))
        self._check_union(ready, kept)
        for daemon in self._fleet.daemons:
            weights = self._fleet.policy.weights(daemon)
            capacity = sum(weights.get(server_id, 1.0) for server_id in ready)
            if capacity < kept - _ROUNDING:
                self._note(f"{daemon} keeps {capacity:.2f} of {kept}")

    def _check_union(self, ready: list[str], kept: int) -> None:
        ejected = {
            server_id
            for daemon in self._fleet.daemons
            for server_id, weight in self._fleet.policy.weights(daemon).items()
            if weight == 0
        }
        left = len(set(ready) - ejected)
        if left < kept:
            self._note(f"the fleet keeps {left} of {kept}")

    def _note(self, text: str) -> None:
        self.violations.append(f"{self._fleet.scheduler.now:.2f}s: {text}")
