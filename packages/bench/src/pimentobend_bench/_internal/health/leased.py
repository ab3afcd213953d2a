"""The production observers and floor owners, joined by simulated paths.

The floor is the share of a pool's servers that must stay in use. Daemons observe
the servers; the owner of the floor, one of the control replicas, grants ejections.
"""

from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_bench._internal.health.policies import EjectionPolicy
from pimentobend_bench._internal.health.policies import PolicyContext
from pimentobend_core._internal.health.floor import FloorOwner
from pimentobend_core._internal.health.limits import TICK_S
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import ConfigurePools
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EjectionStarted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import FloorInput
from pimentobend_core._internal.health.messages import FloorOutput
from pimentobend_core._internal.health.messages import FloorTick
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthOutput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.messages import OwnershipConfirmed
from pimentobend_core._internal.health.messages import OwnershipTaken
from pimentobend_core._internal.health.messages import ServiceServersChanged
from pimentobend_core._internal.health.observer import PoolHealth
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

OWNERS = ("o1", "o2", "o3")


class LeasedEjection(EjectionPolicy):
    """Ejects with the production code of daemons and floor owners.

    There are three control replicas; at most one of them is confirmed as the
    owner, as an elected leader would be.
    """

    name = "pimentobend"

    def __init__(self) -> None:
        self.records: list[tuple[float, FloorOutput]] = []
        self.on_change: Callable[[], None] = lambda: None

    @property
    def owner(self) -> str | None:
        """Return the replica that is confirmed as the owner."""
        return self._owner

    def start(self, context: PolicyContext) -> None:
        """Start without servers and with the first replica as the owner."""
        self._context = context
        self._servers: tuple[Server, ...] = ()
        self._weights: dict[str, Mapping[str, float]] = {}
        self._observers: dict[str, PoolHealth] = {}
        self._owners: dict[str, FloorOwner] = {}
        self._owner: str | None = None
        self._term = 0
        for daemon in context.daemons:
            self.restart_daemon(daemon)
        for owner in OWNERS:
            self.restart_owner(owner)
        self.elect(OWNERS[0])
        context.scheduler.after(TICK_S, self._tick)

    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return the weights that the daemon's observer last reported."""
        return self._weights[daemon]

    def change_servers(self, servers: tuple[Server, ...]) -> None:
        """Pass the list of servers to all daemons and replicas."""
        self._servers = servers
        # Report the change once, when all daemons have the new list.
        on_change, self.on_change = self.on_change, lambda: None
        for daemon in self._observers:
            self._deliver(daemon, ServersChanged(servers))
        self.on_change = on_change
        self.on_change()
        for owner in self._owners:
            self._deliver_to_owner(owner, self._server_list())

    def attempt_started(self, daemon: str, started: AttemptStarted) -> None:
        """Pass the start of an attempt to the daemon's observer."""
        self._deliver(daemon, started)

    def attempt_ended(self, daemon: str, ended: AttemptEnded) -> None:
        """Pass the end of an attempt to the daemon's observer."""
        self._deliver(daemon, ended)

    def restart_daemon(self, daemon: str) -> None:
        """Restart a daemon without its state."""
        self._observers[daemon] = PoolHealth(self._context.pool, daemon)
        self._weights[daemon] = {}
        if self._servers:
            self._deliver(daemon, ServersChanged(self._servers))

    def restart_owner(self, owner: str) -> None:
        """Restart a replica without its state; it is no longer the owner."""
        self._owners[owner] = FloorOwner()
        if self._owner == owner:
            self._owner = None
        self._deliver_to_owner(owner, ConfigurePools((self._context.pool,)))
        if self._servers:
            self._deliver_to_owner(owner, self._server_list())

    def elect(self, owner: str) -> None:
        """Make a replica the owner; the previous owner is not notified."""
        self._term += 1
        self._owner = owner
        self._deliver_to_owner(owner, OwnershipTaken(self._term))

    def _server_list(self) -> ServiceServersChanged:
        return ServiceServersChanged(self._context.pool.service, self._servers)

    def _tick(self) -> None:
        for daemon in self._observers:
            self._deliver(daemon, HealthTick())
        if self._owner is not None:
            confirmed_at = self._context.scheduler.now
            self._deliver_to_owner(
                self._owner, OwnershipConfirmed(self._term, confirmed_at)
            )
        for owner in self._owners:
            self._deliver_to_owner(owner, FloorTick())
        self._context.scheduler.after(TICK_S, self._tick)

    def _deliver(self, daemon: str, message: HealthInput) -> None:
        outputs = self._observers[daemon].handle(message, self._context.scheduler.now)
        for output in outputs:
            self._handle_output(daemon, output)

    def _handle_output(self, daemon: str, output: HealthOutput) -> None:
        match output:
            case HealthChanged():
                self._weights[daemon] = dict(output.weights)
                self.on_change()
            case EvidenceReported():
                for owner in OWNERS:
                    self._send_report(daemon, owner, output)

    def _send_report(self, daemon: str, owner: str, report: EvidenceReported) -> None:
        for delay_s in self._context.paths.delays(daemon, owner):
            self._context.scheduler.after(
                delay_s, lambda: self._deliver_to_owner(owner, report)
            )

    def _deliver_to_owner(self, owner: str, message: FloorInput) -> None:
        outputs = self._owners[owner].handle(message, self._context.scheduler.now)
        for output in outputs:
            self._handle_owner_output(owner, output)

    def _handle_owner_output(self, owner: str, output: FloorOutput) -> None:
        if not isinstance(output, EjectionsGranted):
            self.records.append((self._context.scheduler.now, output))
            return
        for delay_s in self._context.paths.delays(owner, output.observer):
            self._context.scheduler.after(
                delay_s, lambda: self._deliver(output.observer, output)
            )

    def ejections(self) -> tuple[tuple[float, str], ...]:
        """Return time and server of each ejection from the whole fleet."""
        return tuple(
            (at, record.ejection.server_id)
            for at, record in self.records
            if isinstance(record, EjectionStarted)
        )
