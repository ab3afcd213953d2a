"""Interface of the compared ejection policies, and two baselines."""

import abc
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_bench._internal.health.paths import Paths
from pimentobend_bench._internal.health.scheduler import Scheduler
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool


class PolicyContext(NamedTuple):
    """The simulated clock, network and pool that a policy works with."""

    scheduler: Scheduler
    paths: Paths
    pool: Pool
    daemons: tuple[str, ...]


class EjectionPolicy(abc.ABC):
    """Decides the weights of a pool's servers in every daemon."""

    name: str

    @abc.abstractmethod
    def start(self, context: PolicyContext) -> None:
        """Start without servers."""

    @abc.abstractmethod
    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return a daemon's weights by server id; a missing server has weight 1."""

    def ejections(self) -> tuple[tuple[float, str], ...]:
        """Return time and server of each ejection from the whole fleet."""
        return ()

    def change_servers(self, servers: tuple[Server, ...]) -> None:
        """Replace the list of the pool's servers."""
        return

    def attempt_started(self, daemon: str, started: AttemptStarted) -> None:
        """Handle the start of an attempt."""
        return

    def attempt_ended(self, daemon: str, ended: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        return


class RoundRobin(EjectionPolicy):
    """Never ejects a server."""

    name = "round-robin"

    def start(self, context: PolicyContext) -> None:
        """Start without servers."""

    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return no weights: all servers have weight 1."""
        return {}


class ConsecutiveFailures(EjectionPolicy):
    """Ejects a server for 30 s in one daemon after 5 consecutive failures there."""

    name = "5-in-a-row"
    FAILURES = 5
    EJECTION_S = 30.0
    MAX_EJECTED_SHARE = 0.5  # of the servers, in each daemon

    def start(self, context: PolicyContext) -> None:
        """Start without servers."""
        self._scheduler = context.scheduler
        self._failures: dict[tuple[str, str], int] = {}
        self._ejected: dict[str, dict[str, float]] = {
            daemon: {} for daemon in context.daemons
        }
        self._servers: tuple[Server, ...] = ()

    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return 0 for each ejected server."""
        return self._ejected[daemon]

    def change_servers(self, servers: tuple[Server, ...]) -> None:
        """Replace the list of the pool's servers."""
        self._servers = servers

    def attempt_ended(self, daemon: str, ended: AttemptEnded) -> None:
        """Count consecutive failures and eject the server at the limit."""
        key = (daemon, ended.server_id)
        is_answer = ended.kind is AttemptKind.ANSWERED and ended.status < 500
        self._failures[key] = 0 if is_answer else self._failures.get(key, 0) + 1
        ejected = self._ejected[daemon]
        is_allowed = len(ejected) + 1 <= self.MAX_EJECTED_SHARE * len(self._servers)
        if self._failures[key] < self.FAILURES or not is_allowed:
            return
        self._failures[key] = 0
        if ended.server_id not in ejected:
            ejected[ended.server_id] = 0.0
            self._scheduler.after(
                self.EJECTION_S, lambda: self._return(daemon, ended.server_id)
            )

    def _return(self, daemon: str, server_id: str) -> None:
        self._ejected[daemon].pop(server_id, None)
