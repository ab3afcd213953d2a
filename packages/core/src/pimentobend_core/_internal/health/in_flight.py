"""Track the attempts in flight, to detect a silent server before they time out."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.record import Overdue

# An attempt is overdue after this multiple of the other servers' median latency,
# but not before ``OVERDUE_MIN_S``.
OVERDUE_RATIO = 8.0
OVERDUE_MIN_S = 0.5
# After this time without any answer from the server, an overdue attempt on a
# reused connection counts against the server and not only the connection.
SILENT_CONNECTION_S = 1.5
_EXPIRY_S = 120.0  # an attempt that is older is no longer tracked


class _InFlight(NamedTuple):
    started: AttemptStarted
    started_at: float


class InFlightAttempts:
    """Track the attempts that have started and not ended."""

    def __init__(self) -> None:
        self._attempts: dict[int, _InFlight] = {}
        self._served_at: dict[str, float] = {}  # time of the last answer by server

    def start(self, started: AttemptStarted, now: float) -> None:
        """Track an attempt that starts at ``now`` (seconds)."""
        self._attempts[started.ticket] = _InFlight(started, now)

    def end(self, ticket: int) -> None:
        """Stop tracking an ended attempt."""
        self._attempts.pop(ticket, None)

    def record_served(self, server_id: str, now: float) -> None:
        """Record that a server answered on some connection."""
        self._served_at[server_id] = now

    def remove_server(self, server_id: str) -> None:
        """Drop the attempts on a server when its evidence is discarded."""
        self._attempts = {
            ticket: attempt
            for ticket, attempt in self._attempts.items()
            if attempt.started.server_id != server_id
        }

    def overdue(
        self, expected_latencies: Mapping[tuple[str, str], float | None], now: float
    ) -> Mapping[str, Overdue]:
        """Return the number of overdue attempts by server.

        ``expected_latencies`` maps a route and a server to the peers' median
        log latency.
        """
        self._remove_expired(now)
        counts: dict[str, Overdue] = {}
        for started, started_at in self._attempts.values():
            expected = expected_latencies.get((started.route, started.server_id))
            if expected is None:
                continue
            limit_s = max(OVERDUE_MIN_S, OVERDUE_RATIO * math.exp(expected))
            if now - started_at < limit_s:
                continue
            is_weak = started.was_reused and now - started_at < SILENT_CONNECTION_S
            if started.was_reused and self._served_since(started.server_id, started_at):
                continue
            seen = counts.get(started.server_id, Overdue(0, 0))
            counts[started.server_id] = _count(seen, is_weak)
        return counts

    def routes_and_servers(self) -> frozenset[tuple[str, str]]:
        """Return the routes and servers of the attempts in flight."""
        return frozenset(
            (attempt.started.route, attempt.started.server_id)
            for attempt in self._attempts.values()
        )

    def _served_since(self, server_id: str, started_at: float) -> bool:
        return self._served_at.get(server_id, -math.inf) > started_at

    def _remove_expired(self, now: float) -> None:
        # Attempts whose end was never reported must not accumulate.
        expired = [
            ticket
            for ticket, attempt in self._attempts.items()
            if now - attempt.started_at > _EXPIRY_S
        ]
        for ticket in expired:
            del self._attempts[ticket]


def _count(seen: Overdue, is_weak: bool) -> Overdue:
    if is_weak:
        return seen._replace(weak=seen.weak + 1)
    return seen._replace(strong=seen.strong + 1)
