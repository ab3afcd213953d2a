"""Hold one observer's evidence on all backend servers of a pool."""

import statistics
from collections.abc import Mapping

from pimentobend_core._internal.health.flights import Flights
from pimentobend_core._internal.health.latency import RouteLatency
from pimentobend_core._internal.health.limits import GOOD_SCORE
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import ServerEvidence
from pimentobend_core._internal.health.record import Overdue
from pimentobend_core._internal.health.record import ServerRecord
from pimentobend_core._internal.health.record import Verdict
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

_ROUTE_LIMIT = 256
_PEERS_RATIO = 2.0  # where all score high, they also differ more
_NO_OVERDUE = Overdue(0, 0)


class Roster:
    """Own the records of a pool's servers and compare them with each other."""

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}
        self._routes: dict[str, RouteLatency] = {}
        self._flights = Flights()
        self._has_servers = False

    @property
    def servers(self) -> Mapping[str, Server]:
        """Return the servers by their ids."""
        return {server_id: record.server for server_id, record in self._records.items()}

    def is_current(self, server_id: str, incarnation: int) -> bool:
        """Say whether a start of a server is the one that is listed."""
        record = self._records.get(server_id)
        return record is not None and record.server.incarnation == incarnation

    def change(self, servers: tuple[Server, ...], now: float) -> frozenset[str]:
        """Take the whole list; return the ids of servers that started anew."""
        listed = {server.server_id: server for server in servers}
        for server_id in [each for each in self._records if each not in listed]:
            del self._records[server_id]
            self._flights.forget(server_id)
        for route in self._routes.values():
            route.keep(listed)
        started = {server.server_id for server in servers if self._take(server, now)}
        self._has_servers = True
        return frozenset(started)

    def start_attempt(self, started: AttemptStarted, now: float) -> None:
        """Follow an attempt in flight."""
        self._flights.start(started, now)

    def end_attempt(self, ended: AttemptEnded, now: float) -> None:
        """Take an ended attempt as evidence."""
        self._flights.end(ended.ticket)
        record = self._records.get(ended.server_id)
        if record is None:
            return
        if record.judge(ended, now) is not Verdict.SERVED:
            record.add(ended, None, now)
            return
        self._flights.note_served(ended.server_id, now)
        route = self._route(ended.route)
        record.add(ended, route.excess(record.server, ended), now)
        if not record.is_cold(now):
            route.add(record.server, ended.latency_s, now)

    def drop_attempt(self, ticket: int) -> None:
        """Stop following an attempt that is no evidence."""
        self._flights.end(ticket)

    def tick(self, now: float) -> None:
        """Let evidence fade and look for silence."""
        usual = {
            (route, server_id): self._usual(route, server_id)
            for route, server_id in self._flights.pairs()
        }
        overdue = self._flights.overdue(usual, now)
        for server_id, record in self._records.items():
            record.fade(now)
            seen = overdue.get(server_id, _NO_OVERDUE)
            record.note_silence(_NO_OVERDUE if record.is_cold(now) else seen)

    def reset(self, server_id: str) -> None:
        """Forget the evidence on a server that leaves or returns to use."""
        self._flights.forget(server_id)
        if server_id in self._records:
            self._records[server_id].reset()

    def scores(self, now: float) -> Mapping[str, float]:
        """Return each server's score beyond its peers'.

        Without peers that showed anything of late nothing can be compared,
        and no server scores.
        """
        recent = {
            server_id: record.score
            for server_id, record in self._records.items()
            if record.is_recent(now)
        }
        return {
            server_id: _beyond_peers(server_id, score, recent)
            for server_id, score in recent.items()
        }

    def evidence(
        self, scores: Mapping[str, float], now: float
    ) -> tuple[ServerEvidence, ...]:
        """Return what to report of the servers that have scores."""
        return tuple(
            ServerEvidence(
                server_id,
                self._records[server_id].server.incarnation,
                round(score, 2),
                round(self._records[server_id].age_s(now), 2),
                self._records[server_id].reason,
            )
            for server_id, score in scores.items()
        )

    def is_suspicious(self, server_id: str) -> bool:
        """Say whether an attempt on a server may change a decision."""
        record = self._records.get(server_id)
        return record is not None and record.score >= GOOD_SCORE

    def _take(self, server: Server, now: float) -> bool:
        record = self._records.get(server.server_id)
        if record is not None and not _starts_anew(record.server, server):
            record.server = server
            return False
        # Servers of the first list were there before this daemon.
        cold_s = ServerRecord.COLD_S if self._has_servers else 0.0
        self._records[server.server_id] = ServerRecord(server, now + cold_s, now)
        self._flights.forget(server.server_id)
        for route in self._routes.values():
            route.forget(server.server_id)
        return True

    def _route(self, name: str) -> RouteLatency:
        if name not in self._routes and len(self._routes) >= _ROUTE_LIMIT:
            del self._routes[next(iter(self._routes))]
        return self._routes.setdefault(name, RouteLatency())

    def _usual(self, route: str, server_id: str) -> float | None:
        latency = self._routes.get(route)
        return latency.usual(server_id) if latency else None


def _starts_anew(before: Server, after: Server) -> bool:
    if before.incarnation != after.incarnation:
        return True
    became_ready = after.state is ServerState.READY
    return became_ready and before.state is ServerState.STARTING


def _beyond_peers(server_id: str, score: float, recent: Mapping[str, float]) -> float:
    if len(recent) < 2:
        return 0.0
    if score < GOOD_SCORE:
        return score
    peers = [other for peer_id, other in recent.items() if peer_id != server_id]
    return max(0.0, score - _PEERS_RATIO * statistics.median(peers))
