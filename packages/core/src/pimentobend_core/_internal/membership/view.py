"""Merge what all instances know of servers into one view."""

import collections
import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServerEvents
from pimentobend_core._internal.membership.messages import ServerForgotten
from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.membership.messages import ViewInput
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import ServersChanged

ORPHAN_S = 30.0  # servers of a lost instance stay so long
FORGET_S = 86_400.0  # rows of a lost instance and of gone servers stay so long
ORPHAN_DROP_SHARE = 0.5  # of a service's servers that silence alone may remove

_STATE_ORDER = (ServerState.STARTING, ServerState.READY, ServerState.DRAINING)


class _Row(NamedTuple):
    """Hold one instance's word on one server."""

    rank: Rank
    presence: Presence
    server: Server


class _Life(NamedTuple):
    """Hold since when an instance lives its present life."""

    epoch: int
    since: float  # seconds of the clock


class _Gone(NamedTuple):
    """Name a row that ended, in order of time."""

    at: float  # seconds of the clock
    server_id: str
    instance_id: str
    rank: Rank


class MembershipView(StatefulFilter[ViewInput, ServiceChanged]):
    """Turn events of all instances into lists of servers by service."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, _Row]] = {}  # by server, then instance
        self._by_service: dict[str, set[str]] = {}
        self._by_instance: dict[str, set[str]] = {}
        self._lost: dict[str, float] = {}
        self._orphaned: set[str] = set()
        self._lives: dict[str, _Life] = {}
        self._gone: collections.deque[_Gone] = collections.deque()
        self._given: dict[str, tuple[Server, ...]] = {}

    def handle(self, message: ViewInput, now: float) -> tuple[ServiceChanged, ...]:
        """Take changes of servers and of instances."""
        match message:
            case ServerEvent():
                return self._give(self._take((message,), now))
            case ServerEvents():
                return self._give(self._take(message.events, now))
            case ServerForgotten():
                return self._give(self._forget_server(message))
            case InstanceLost():
                self._lost.setdefault(message.instance_id, now)
                return ()
            case InstanceFound():
                return self._give(self._find(message, now))
            case _:
                touched = self._orphan(now) | self._end_earlier_lives(now)
                self._forget(now)
                return self._give(touched)

    def servers(self, service: str) -> tuple[Server, ...]:
        """Return the service's live servers, those draining included."""
        return self._given.get(service, ())

    def dump(self) -> Mapping[str, object]:
        """Return the view as JSON-compatible values."""
        return {
            "services": {
                service: [
                    {"server": s.server_id, "state": s.state.value} for s in servers
                ]
                for service, servers in sorted(self._given.items())
            },
            "lost": dict(sorted(self._lost.items())),
            "orphaned": sorted(self._orphaned),
        }

    def _take(self, events: Iterable[ServerEvent], now: float) -> set[str]:
        touched: set[str] = set()
        for event in events:
            server_id = event.server.server_id
            rows = self._rows.setdefault(server_id, {})
            known = rows.get(event.instance_id)
            if known is not None and event.rank <= known.rank:
                continue
            if known is not None and known.server.service != event.server.service:
                touched.add(known.server.service)
            rows[event.instance_id] = _Row(event.rank, event.presence, event.server)
            self._by_service.setdefault(event.server.service, set()).add(server_id)
            self._by_instance.setdefault(event.instance_id, set()).add(server_id)
            touched.add(event.server.service)
            if event.presence is not Presence.LIVE:
                gone = _Gone(now, server_id, event.instance_id, event.rank)
                self._gone.append(gone)
        return touched

    def _find(self, message: InstanceFound, now: float) -> set[str]:
        instance_id = message.instance_id
        self._lost.pop(instance_id, None)
        life = self._lives.get(instance_id)
        if life is None or message.epoch > life.epoch:
            self._lives[instance_id] = _Life(message.epoch, now)
        if instance_id not in self._orphaned:
            return set()
        self._orphaned.discard(instance_id)
        return self._services_of(instance_id)

    def _orphan(self, now: float) -> set[str]:
        touched: set[str] = set()
        for instance_id, lost_at in self._lost.items():
            if instance_id in self._orphaned or now - lost_at < ORPHAN_S:
                continue
            self._orphaned.add(instance_id)
            touched |= self._services_of(instance_id)
        return touched

    def _end_earlier_lives(self, now: float) -> set[str]:
        """Drop rows that no renewal confirmed since their instance restarted."""
        touched: set[str] = set()
        for instance_id, life in self._lives.items():
            if life.epoch == 0 or now - life.since < ORPHAN_S:
                continue
            for server_id in tuple(self._by_instance.get(instance_id, ())):
                row = self._rows[server_id][instance_id]
                if row.rank.epoch < life.epoch:
                    touched.add(row.server.service)
                    self._drop(server_id, instance_id)
        return touched

    def _forget(self, now: float) -> None:
        while self._gone and now - self._gone[0].at >= FORGET_S:
            gone = self._gone.popleft()
            row = self._rows.get(gone.server_id, {}).get(gone.instance_id)
            if row is not None and row.rank == gone.rank:
                self._drop(gone.server_id, gone.instance_id)
        for instance_id, lost_at in tuple(self._lost.items()):
            if now - lost_at >= FORGET_S:
                self._forget_instance(instance_id)

    def _forget_server(self, message: ServerForgotten) -> set[str]:
        instance_id, server_id = message
        row = self._rows.get(server_id, {}).get(instance_id)
        if row is None:
            return set()
        self._drop(server_id, instance_id)
        return {row.server.service}

    def _forget_instance(self, instance_id: str) -> None:
        for server_id in tuple(self._by_instance.get(instance_id, ())):
            self._drop(server_id, instance_id)
        self._lost.pop(instance_id, None)
        self._lives.pop(instance_id, None)
        self._orphaned.discard(instance_id)

    def _drop(self, server_id: str, instance_id: str) -> None:
        rows = self._rows[server_id]
        service = rows.pop(instance_id).server.service
        self._by_instance[instance_id].discard(server_id)
        if not rows:
            del self._rows[server_id]
            self._by_service[service].discard(server_id)

    def _services_of(self, instance_id: str) -> set[str]:
        return {
            self._rows[server_id][instance_id].server.service
            for server_id in self._by_instance.get(instance_id, ())
        }

    def _give(self, services: set[str]) -> tuple[ServiceChanged, ...]:
        changes = []
        for service in sorted(services):
            servers = self._list(service)
            if servers == self._given.get(service, ()):
                continue
            self._given[service] = servers
            changes.append(ServiceChanged(service, ServersChanged(servers)))
        return tuple(changes)

    def _list(self, service: str) -> tuple[Server, ...]:
        heard: list[Server] = []
        silent: list[Server] = []
        for server_id in sorted(self._by_service.get(service, ())):
            rows = self._rows.get(server_id, {})
            server = _merge(rows.values())
            if server is None or server.service != service:
                continue
            group = silent if rows.keys() <= self._orphaned else heard
            group.append(server)
        droppable = math.floor((len(heard) + len(silent)) * ORPHAN_DROP_SHARE)
        if len(silent) > droppable:
            heard += silent[droppable:]
        return tuple(sorted(heard))


def _merge(rows: Iterable[_Row]) -> Server | None:
    """Return the live server that several instances' rows describe."""
    rows = tuple(rows)
    if not rows:
        return None
    incarnation = max(row.server.incarnation for row in rows)
    latest = [row for row in rows if row.server.incarnation == incarnation]
    if any(row.presence is Presence.WITHDRAWN for row in latest):
        return None
    live = [row.server for row in latest if row.presence is Presence.LIVE]
    if not live:
        return None
    return max(live, key=lambda server: _STATE_ORDER.index(server.state))
