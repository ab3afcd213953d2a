"""Check of the floor: the share of a pool that must stay in use."""

from pimentobend_bench._internal.health.fleet import Fleet
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.models.server import ServerState

_ROUNDING = 1e-6  # tolerance for sums of weights


class FloorWatch:
    """Records a violation whenever ejections leave less than the floor in use."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.violations: list[str] = []

    def check(self) -> None:
        """Check the fleet's servers and the capacity that each daemon keeps."""
        ready = [
            server_id
            for server_id, server in self._fleet.servers.items()
            if server.server.state is ServerState.READY
        ]
        required = required_servers(self._fleet.shape.floor, len(self._fleet.servers))
        minimum = min(required, len(ready))
        self._check_fleet(ready, minimum)
        for daemon in self._fleet.daemons:
            weights = self._fleet.policy.weights(daemon)
            capacity = sum(weights.get(server_id, 1.0) for server_id in ready)
            if capacity < minimum - _ROUNDING:
                self._record(f"{daemon} uses {capacity:.2f} servers, floor {minimum}")

    def _check_fleet(self, ready: list[str], minimum: int) -> None:
        ejected = {
            server_id
            for daemon in self._fleet.daemons
            for server_id, weight in self._fleet.policy.weights(daemon).items()
            if weight == 0
        }
        left = len(set(ready) - ejected)
        if left < minimum:
            self._record(f"the fleet uses {left} servers, floor {minimum}")

    def _record(self, text: str) -> None:
        self.violations.append(f"{self._fleet.scheduler.now:.2f}s: {text}")
