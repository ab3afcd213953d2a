"""Define the ejection policies to compare."""

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


class Setting(NamedTuple):
    """Give a policy what it runs on."""

    scheduler: Scheduler
    paths: Paths
    pool: Pool
    daemons: tuple[str, ...]


class EjectionPolicy(abc.ABC):
    """Decide the weights of a pool's servers in every daemon."""

    name: str

    @abc.abstractmethod
    def start(self, setting: Setting) -> None:
        """Begin with no servers."""

    @abc.abstractmethod
    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return the weights below 1 of one daemon."""

    def ejections(self) -> tuple[tuple[float, str], ...]:
        """Return when which server was ejected from the whole fleet."""
        return ()

    def change_servers(self, servers: tuple[Server, ...]) -> None:
        """Take the pool's whole list of servers."""
        return

    def attempt_started(self, daemon: str, started: AttemptStarted) -> None:
        """Take the start of an attempt."""
        return

    def attempt_ended(self, daemon: str, ended: AttemptEnded) -> None:
        """Take the end of an attempt."""
        return


class RoundRobin(EjectionPolicy):
    """Eject nothing."""

    name = "round-robin"

    def start(self, setting: Setting) -> None:
        """Begin with no servers."""

    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return no weights below 1."""
        return {}


class ConsecutiveFailures(EjectionPolicy):
    """Eject in each daemon alone after failures in a row."""

    name = "5-in-a-row"
    FAILURES = 5
    TIMEOUT_S = 30.0
    LARGEST_SHARE = 0.5  # of the servers, in each daemon

    def start(self, setting: Setting) -> None:
        """Begin with no servers."""
        self._scheduler = setting.scheduler
        self._failures: dict[tuple[str, str], int] = {}
        self._ejected: dict[str, dict[str, float]] = {
            daemon: {} for daemon in setting.daemons
        }
        self._servers: tuple[Server, ...] = ()

    def weights(self, daemon: str) -> Mapping[str, float]:
        """Return 0 for each ejected server."""
        return self._ejected[daemon]

    def change_servers(self, servers: tuple[Server, ...]) -> None:
        """Take the pool's whole list of servers."""
        self._servers = servers

    def attempt_ended(self, daemon: str, ended: AttemptEnded) -> None:
        """Count failures in a row."""
        key = (daemon, ended.server_id)
        is_answer = ended.kind is AttemptKind.ANSWERED and ended.status < 500
        self._failures[key] = 0 if is_answer else self._failures.get(key, 0) + 1
        ejected = self._ejected[daemon]
        is_allowed = len(ejected) + 1 <= self.LARGEST_SHARE * len(self._servers)
        if self._failures[key] < self.FAILURES or not is_allowed:
            return
        self._failures[key] = 0
        if ended.server_id not in ejected:
            ejected[ended.server_id] = 0.0
            self._scheduler.after(
                self.TIMEOUT_S, lambda: self._return(daemon, ended.server_id)
            )

    def _return(self, daemon: str, server_id: str) -> None:
        self._ejected[daemon].pop(server_id, None)
