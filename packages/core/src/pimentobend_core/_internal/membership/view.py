"""Merge the server events of all instances into one membership view.

A server may announce itself to several instances. The view stores the latest
event of each instance for a server as a row, and merges the rows of a server.
"""

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

ORPHAN_S = 30.0  # grace period for the servers of a lost or restarted instance
FORGET_S = 86_400.0  # how long rows of lost instances and ended servers are kept
ORPHAN_DROP_SHARE = 0.5  # largest share of a service to drop for lost instances

_STATE_ORDER = (ServerState.STARTING, ServerState.READY, ServerState.DRAINING)


class _Row(NamedTuple):
    """Latest row of one instance for one server."""

    rank: Rank
    presence: Presence
    server: Server


class _EpochStart(NamedTuple):
    """Current epoch of an instance, and when it was first seen."""

    epoch: int
    seen_at: float  # seconds of the clock


class _EndedRow(NamedTuple):
    """A row whose server withdrew or expired, queued to be dropped."""

    ended_at: float  # seconds of the clock
    server_id: str
    instance_id: str
    rank: Rank


class MembershipView(StatefulFilter[ViewInput, ServiceChanged]):
    """Turn the events of all instances into the live servers of each service."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, _Row]] = {}  # by server, then instance
        self._by_service: dict[str, set[str]] = {}
        self._by_instance: dict[str, set[str]] = {}
        self._lost: dict[str, float] = {}  # time of the loss by instance
        self._orphaned: set[str] = set()  # instances lost for ORPHAN_S or longer
        self._epoch_starts: dict[str, _EpochStart] = {}
        self._ended_rows: collections.deque[_EndedRow] = collections.deque()
        self._published: dict[str, tuple[Server, ...]] = {}

    def handle(self, message: ViewInput, now: float) -> tuple[ServiceChanged, ...]:
        """Handle server events, lost and found instances, or a tick."""
        match message:
            case ServerEvent():
                return self._publish_changes(self._apply_events((message,), now))
            case ServerEvents():
                return self._publish_changes(self._apply_events(message.events, now))
            case ServerForgotten():
                return self._publish_changes(self._forget_server(message))
            case InstanceLost():
                self._lost.setdefault(message.instance_id, now)
                return ()
            case InstanceFound():
                return self._publish_changes(self._handle_found(message, now))
            case _:
                changed = self._mark_orphaned(now) | self._drop_earlier_epochs(now)
                self._forget(now)
                return self._publish_changes(changed)

    def servers(self, service: str) -> tuple[Server, ...]:
        """Return the service's live servers, including draining ones."""
        return self._published.get(service, ())

    def dump(self) -> Mapping[str, object]:
        """Return the view as JSON-compatible values."""
        return {
            "services": {
                service: [
                    {"server": s.server_id, "state": s.state.value} for s in servers
                ]
                for service, servers in sorted(self._published.items())
            },
            "lost": dict(sorted(self._lost.items())),
            "orphaned": sorted(self._orphaned),
        }

    def _apply_events(self, events: Iterable[ServerEvent], now: float) -> set[str]:
        changed: set[str] = set()
        for event in events:
            server_id = event.server.server_id
            rows = self._rows.setdefault(server_id, {})
            known = rows.get(event.instance_id)
            if known is not None and event.rank <= known.rank:
                continue
            if known is not None and known.server.service != event.server.service:
                changed.add(known.server.service)
            rows[event.instance_id] = _Row(event.rank, event.presence, event.server)
            self._by_service.setdefault(event.server.service, set()).add(server_id)
            self._by_instance.setdefault(event.instance_id, set()).add(server_id)
            changed.add(event.server.service)
            if event.presence is not Presence.LIVE:
                ended = _EndedRow(now, server_id, event.instance_id, event.rank)
                self._ended_rows.append(ended)
        return changed

    def _handle_found(self, message: InstanceFound, now: float) -> set[str]:
        instance_id = message.instance_id
        self._lost.pop(instance_id, None)
        started = self._epoch_starts.get(instance_id)
        if started is None or message.epoch > started.epoch:
            self._epoch_starts[instance_id] = _EpochStart(message.epoch, now)
        if instance_id not in self._orphaned:
            return set()
        self._orphaned.discard(instance_id)
        return self._services_of(instance_id)

    def _mark_orphaned(self, now: float) -> set[str]:
        changed: set[str] = set()
        for instance_id, lost_at in self._lost.items():
            if instance_id in self._orphaned or now - lost_at < ORPHAN_S:
                continue
            self._orphaned.add(instance_id)
            changed |= self._services_of(instance_id)
        return changed

    def _drop_earlier_epochs(self, now: float) -> set[str]:
        """Drop rows that were not renewed within ORPHAN_S of an instance's restart."""
        changed: set[str] = set()
        for instance_id, started in self._epoch_starts.items():
            if started.epoch == 0 or now - started.seen_at < ORPHAN_S:
                continue
            for server_id in tuple(self._by_instance.get(instance_id, ())):
                row = self._rows[server_id][instance_id]
                if row.rank.epoch < started.epoch:
                    changed.add(row.server.service)
                    self._drop(server_id, instance_id)
        return changed

    def _forget(self, now: float) -> None:
        while self._ended_rows and now - self._ended_rows[0].ended_at >= FORGET_S:
            ended = self._ended_rows.popleft()
            row = self._rows.get(ended.server_id, {}).get(ended.instance_id)
            if row is not None and row.rank == ended.rank:
                self._drop(ended.server_id, ended.instance_id)
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
        self._epoch_starts.pop(instance_id, None)
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

    def _publish_changes(self, services: set[str]) -> tuple[ServiceChanged, ...]:
        changes = []
        for service in sorted(services):
            servers = self._list_live(service)
            if servers == self._published.get(service, ()):
                continue
            self._published[service] = servers
            changes.append(ServiceChanged(service, ServersChanged(servers)))
        return tuple(changes)

    def _list_live(self, service: str) -> tuple[Server, ...]:
        reachable: list[Server] = []
        orphaned: list[Server] = []
        for server_id in sorted(self._by_service.get(service, ())):
            rows = self._rows.get(server_id, {})
            server = _merge(rows.values())
            if server is None or server.service != service:
                continue
            group = orphaned if rows.keys() <= self._orphaned else reachable
            group.append(server)
        droppable = math.floor((len(reachable) + len(orphaned)) * ORPHAN_DROP_SHARE)
        if len(orphaned) > droppable:
            reachable += orphaned[droppable:]
        return tuple(sorted(reachable))


def _merge(rows: Iterable[_Row]) -> Server | None:
    """Merge several instances' rows for a server; None if it is not live.

    The highest incarnation counts; of its rows a withdrawal wins, then the
    most advanced state.
    """
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
