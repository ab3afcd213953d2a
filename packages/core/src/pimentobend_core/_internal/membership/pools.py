"""Map the live servers of services to the pools that use them."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import ServersChanged


class PoolServersChanged(NamedTuple):
    """The list of a pool's live servers changed."""

    pool: str
    change: ServersChanged


PoolServersInput = ServiceChanged | Tables


class PoolServers(StatefulFilter[PoolServersInput, PoolServersChanged]):
    """List the live servers of each pool from the servers of its service."""

    def __init__(self) -> None:
        self._servers_by_service: dict[str, ServersChanged] = {}
        self._service_by_pool: dict[str, str] = {}

    def handle(
        self, message: PoolServersInput, now: float
    ) -> tuple[PoolServersChanged, ...]:
        """Handle a service's servers or new tables; return the affected pools."""
        if isinstance(message, Tables):
            self._service_by_pool = {pool.name: pool.service for pool in message.pools}
            return self._create_changes(list(self._service_by_pool))
        self._servers_by_service[message.service] = message.change
        return self._create_changes(
            [
                pool
                for pool, name in self._service_by_pool.items()
                if name == message.service
            ]
        )

    def dump(self) -> Mapping[str, object]:
        """Return the servers of each pool as JSON-compatible values."""
        return {
            pool: [_describe(server) for server in self._find_servers(service).servers]
            for pool, service in sorted(self._service_by_pool.items())
        }

    def _create_changes(self, pools: list[str]) -> tuple[PoolServersChanged, ...]:
        return tuple(
            PoolServersChanged(pool, self._find_servers(self._service_by_pool[pool]))
            for pool in pools
        )

    def _find_servers(self, service: str) -> ServersChanged:
        return self._servers_by_service.get(service, ServersChanged(()))


def _describe(server: Server) -> Mapping[str, object]:
    return {
        "server": server.server_id,
        "service": server.service,
        "state": server.state.value,
        "data_centre": server.data_centre,
        "address": f"{server.host}:{server.port}",
        "slots": server.slots,
    }
