"""Observers and floor owners on a simulated unreliable network.

An observer is a daemon that reports on the servers; a floor owner is a control
replica that grants ejections.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from health_samples import POOL
from health_samples import make_ended
from health_samples import make_servers

from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.health.floor import FloorOwner
from pimentobend_core._internal.health.limits import TICK_S
from pimentobend_core._internal.health.messages import ConfigurePools
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import FloorInput
from pimentobend_core._internal.health.messages import FloorTick
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.messages import OwnershipConfirmed
from pimentobend_core._internal.health.messages import OwnershipTaken
from pimentobend_core._internal.health.messages import ServiceServersChanged
from pimentobend_core._internal.health.observer import PoolHealth
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

OWNERS = ("o1", "o2")
_ROUNDING_TOLERANCE = 1e-6


class _Delivery(NamedTuple):
    deliver_at: float
    order: int  # unique, so that deliveries at one time keep the order of sending
    action: Callable[[], None]


class HealthNetwork:
    """Simulate daemons and floor owners that exchange messages over faulty paths.

    Each daemon's clock starts at 0 when the daemon starts.
    """

    def __init__(
        self, daemons: tuple[str, ...], servers: int, floor: float, seed: int
    ) -> None:
        self.now = 0.0
        self.unhealthy: set[str] = set()
        self.cut_paths: set[tuple[str, str]] = set()
        self.loss = 0.0  # share lost; the same share of the rest arrives twice
        self.delay_s = 0.0
        self.confirmed: str | None = None  # the owner that a majority confirms
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        self._delivery_orders = itertools.count()
        self._deliveries: list[_Delivery] = []
        self._pool = POOL._replace(floor=floor)
        self._servers = make_servers(servers)
        self._term = 0
        self._clock_offsets: dict[str, float] = {}
        self._observers: dict[str, PoolHealth] = {}
        self._owners: dict[str, FloorOwner] = {}
        self._weights: dict[str, dict[str, float]] = {}
        for daemon in daemons:
            self.restart_daemon(daemon)
        for owner in OWNERS:
            self.restart_owner(owner)
        self.elect(OWNERS[0])

    def restart_daemon(self, daemon: str) -> None:
        """Restart a daemon, which loses its state and resets its clock."""
        self._clock_offsets[daemon] = -self.now
        self._observers[daemon] = PoolHealth(self._pool, daemon)
        self._weights[daemon] = {}
        self._send_to_daemon(daemon, ServersChanged(self._servers))

    def restart_owner(self, owner: str) -> None:
        """Restart a replica, which loses its state and its ownership."""
        self._owners[owner] = FloorOwner()
        if self.confirmed == owner:
            self.confirmed = None
        self._send_to_owner(owner, ConfigurePools((self._pool,)))
        self._send_to_owner(owner, ServiceServersChanged("bookings", self._servers))

    def elect(self, owner: str) -> None:
        """Begin a new term; the previous owner is not told."""
        self._term += 1
        self.confirmed = owner
        self._send_to_owner(owner, OwnershipTaken(self._term))

    def run(self, seconds: float) -> None:
        """Advance time in ticks; each daemon sends each server one attempt per tick."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._deliver()
            for daemon in self._observers:
                self._send_attempts(daemon)
                self._send_to_daemon(daemon, HealthTick())
            if self.confirmed:
                confirmation = OwnershipConfirmed(self._term, self.now)
                self._send_to_owner(self.confirmed, confirmation)
            for owner in OWNERS:
                self._send_to_owner(owner, FloorTick())
            self._check_floor()

    def ejected(self) -> set[str]:
        """Return the servers that have the weight 0 in some daemon."""
        return {
            server_id
            for weights in self._weights.values()
            for server_id, weight in weights.items()
            if weight == 0
        }

    def _send_attempts(self, daemon: str) -> None:
        for number in range(1, len(self._servers) + 1):
            if (daemon, str(number)) in self.cut_paths:
                ended = make_ended(
                    number, AttemptKind.NOT_CONNECTED, 0, was_reused=False
                )
            elif str(number) in self.unhealthy:
                ended = make_ended(number, status=500)
            else:
                ended = make_ended(number)
            self._send_to_daemon(daemon, ended)

    def _send_to_daemon(self, daemon: str, message: HealthInput) -> None:
        local_time = self.now + self._clock_offsets[daemon]
        for output in self._observers[daemon].handle(message, local_time):
            if isinstance(output, HealthChanged):
                self._weights[daemon] = dict(output.weights)
            else:
                self._send_report(daemon, output)

    def _send_report(self, daemon: str, report: EvidenceReported) -> None:
        for owner in OWNERS:
            self._enqueue(
                daemon, owner, lambda to=owner: self._send_to_owner(to, report)
            )

    def _send_to_owner(self, owner: str, message: FloorInput) -> None:
        for output in self._owners[owner].handle(message, self.now):
            if isinstance(output, EjectionsGranted):
                grant = output
                self._enqueue(
                    owner,
                    grant.observer,
                    lambda grant=grant: self._send_to_daemon(grant.observer, grant),
                )

    def _enqueue(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        if (sender, receiver) in self.cut_paths or self._rng.random() < self.loss:
            return
        for _ in range(1 + (self._rng.random() < self.loss)):
            deliver_at = self.now + self._rng.random() * self.delay_s
            heapq.heappush(
                self._deliveries,
                _Delivery(deliver_at, next(self._delivery_orders), action),
            )

    def _deliver(self) -> None:
        while self._deliveries and self._deliveries[0].deliver_at <= self.now:
            heapq.heappop(self._deliveries).action()

    def _check_floor(self) -> None:
        count = len(self._servers)
        required = required_servers(self._pool.floor, count)
        if count - len(self.ejected()) < required:
            self.violations.append(
                f"{self.now} s: {sorted(self.ejected())} of {count} servers ejected,"
                f" but {required} must stay in use"
            )
        for daemon, weights in self._weights.items():
            capacity = count - sum(1 - weight for weight in weights.values())
            if capacity < required - _ROUNDING_TOLERANCE:
                self.violations.append(
                    f"{self.now} s: the weights in {daemon} add up to {capacity},"
                    f" below the required {required}"
                )
