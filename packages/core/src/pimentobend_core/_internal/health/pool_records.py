"""One observer's evidence against all backend servers of a pool."""

import statistics
from collections.abc import Mapping

from pimentobend_core._internal.health.in_flight import InFlightAttempts
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

_MAX_ROUTES = 256
# Only the part of a score beyond this multiple of the peers' median counts, since
# scores differ more when all are high.
_PEER_SCORE_RATIO = 2.0
_NO_OVERDUE = Overdue(0, 0)


class PoolRecords:
    """Keep one record for each server of a pool and compare their scores."""

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}
        self._routes: dict[str, RouteLatency] = {}
        self._in_flight = InFlightAttempts()
        self._has_server_list = False

    @property
    def servers(self) -> Mapping[str, Server]:
        """Return the servers by id."""
        return {server_id: record.server for server_id, record in self._records.items()}

    def is_current(self, server_id: str, incarnation: int) -> bool:
        """Return whether the server is listed with this incarnation."""
        record = self._records.get(server_id)
        return record is not None and record.server.incarnation == incarnation

    def update_servers(self, servers: tuple[Server, ...], now: float) -> frozenset[str]:
        """Replace the list of servers; return the ids of new and restarted ones."""
        listed = {server.server_id: server for server in servers}
        for server_id in [each for each in self._records if each not in listed]:
            del self._records[server_id]
            self._in_flight.remove_server(server_id)
        for route in self._routes.values():
            route.retain(listed)
        started = {
            server.server_id for server in servers if self._update_record(server, now)
        }
        self._has_server_list = True
        return frozenset(started)

    def start_attempt(self, started: AttemptStarted, now: float) -> None:
        """Track an attempt in flight."""
        self._in_flight.start(started, now)

    def end_attempt(self, ended: AttemptEnded, now: float) -> None:
        """Count an ended attempt as evidence."""
        self._in_flight.end(ended.ticket)
        record = self._records.get(ended.server_id)
        if record is None:
            return
        if record.classify(ended, now) is not Verdict.SERVED:
            record.add(ended, None, now)
            return
        self._in_flight.record_served(ended.server_id, now)
        route = self._route(ended.route)
        record.add(ended, route.excess(record.server, ended), now)
        if not record.is_warming_up(now):
            route.add(record.server, ended.latency_s, now)

    def drop_attempt(self, ticket: int) -> None:
        """Stop tracking an attempt without counting it as evidence."""
        self._in_flight.end(ticket)

    def tick(self, now: float) -> None:
        """Let scores decay and check for overdue attempts."""
        expected = {
            (route, server_id): self._expected_latency(route, server_id)
            for route, server_id in self._in_flight.routes_and_servers()
        }
        overdue = self._in_flight.overdue(expected, now)
        for server_id, record in self._records.items():
            record.decay(now)
            seen = overdue.get(server_id, _NO_OVERDUE)
            record.update_overdue(_NO_OVERDUE if record.is_warming_up(now) else seen)

    def reset(self, server_id: str) -> None:
        """Discard the evidence against a server that is ejected or returns."""
        self._in_flight.remove_server(server_id)
        if server_id in self._records:
            self._records[server_id].reset()

    def scores(self, now: float) -> Mapping[str, float]:
        """Return each server's score compared with the other servers (its peers).

        Only servers with recent evidence are included. A server without such
        peers cannot be compared and scores 0.
        """
        recent = {
            server_id: record.score
            for server_id, record in self._records.items()
            if record.has_recent_evidence(now)
        }
        return {
            server_id: _relative_score(server_id, score, recent)
            for server_id, score in recent.items()
        }

    def evidence(
        self, scores: Mapping[str, float], now: float
    ) -> tuple[ServerEvidence, ...]:
        """Return the evidence to report for the servers in ``scores``."""
        return tuple(
            ServerEvidence(
                server_id,
                self._records[server_id].server.incarnation,
                round(score, 2),
                round(self._records[server_id].evidence_age_s(now), 2),
                self._records[server_id].reason,
            )
            for server_id, score in scores.items()
        )

    def is_suspicious(self, server_id: str) -> bool:
        """Return whether one more attempt could change how the server is used."""
        record = self._records.get(server_id)
        return record is not None and record.score >= GOOD_SCORE

    def _update_record(self, server: Server, now: float) -> bool:
        record = self._records.get(server.server_id)
        if record is not None and not _is_new_start(record.server, server):
            record.server = server
            return False
        # Servers of the first list were running before this daemon started, so
        # they need no warm-up time.
        warm_up_s = ServerRecord.WARM_UP_S if self._has_server_list else 0.0
        self._records[server.server_id] = ServerRecord(server, now + warm_up_s, now)
        self._in_flight.remove_server(server.server_id)
        for route in self._routes.values():
            route.remove(server.server_id)
        return True

    def _route(self, name: str) -> RouteLatency:
        if name not in self._routes and len(self._routes) >= _MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        return self._routes.setdefault(name, RouteLatency())

    def _expected_latency(self, route: str, server_id: str) -> float | None:
        latency = self._routes.get(route)
        return latency.peer_median(server_id) if latency else None


def _is_new_start(before: Server, after: Server) -> bool:
    if before.incarnation != after.incarnation:
        return True
    became_ready = after.state is ServerState.READY
    return became_ready and before.state is ServerState.STARTING


def _relative_score(server_id: str, score: float, recent: Mapping[str, float]) -> float:
    if len(recent) < 2:
        return 0.0
    if score < GOOD_SCORE:
        return score
    peers = [other for peer_id, other in recent.items() if peer_id != server_id]
    return max(0.0, score - _PEER_SCORE_RATIO * statistics.median(peers))
