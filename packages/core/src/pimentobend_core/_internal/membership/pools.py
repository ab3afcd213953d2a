"""Turn the servers of services into the servers of pools."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import ServersChanged


class PoolServersChanged(NamedTuple):
    """Give the live servers of one pool."""

    pool: str
    change: ServersChanged


PoolServersInput = ServiceChanged | Tables


class PoolServers(StatefulFilter[PoolServersInput, PoolServersChanged]):
    """Join the fleet's view with the table of pools."""

    def __init__(self) -> None:
        self._changes: dict[str, ServersChanged] = {}
        self._pools: dict[str, str] = {}  # service by pool

    def handle(
        self, message: PoolServersInput, now: float
    ) -> tuple[PoolServersChanged, ...]:
        """Take a service's servers or new tables; return the pools' servers."""
        if isinstance(message, Tables):
            self._pools = {pool.name: pool.service for pool in message.pools}
            return self._give(list(self._pools))
        self._changes[message.service] = message.change
        return self._give(
            [pool for pool, name in self._pools.items() if name == message.service]
        )

    def dump(self) -> Mapping[str, object]:
        """Return the servers of each pool as JSON-compatible values."""
        return {
            pool: [_describe(server) for server in self._find(service).servers]
            for pool, service in sorted(self._pools.items())
        }

    def _give(self, pools: list[str]) -> tuple[PoolServersChanged, ...]:
        return tuple(
            PoolServersChanged(pool, self._find(self._pools[pool])) for pool in pools
        )

    def _find(self, service: str) -> ServersChanged:
        return self._changes.get(service, ServersChanged(()))


def _describe(server: Server) -> Mapping[str, object]:
    return {
        "server": server.server_id,
        "service": server.service,
        "state": server.state.value,
        "data_centre": server.data_centre,
        "address": f"{server.host}:{server.port}",
        "slots": server.slots,
    }
