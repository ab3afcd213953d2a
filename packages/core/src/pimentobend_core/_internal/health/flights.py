"""Follow attempts in flight, to see silence before its timeout."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.record import Overdue

OVERDUE_RATIO = 8.0  # times the peers' usual latency
OVERDUE_LEAST_S = 0.5
STUCK_S = 1.5  # with nothing served meanwhile, not the connection's own silence
_FORGET_S = 120.0


class _Flight(NamedTuple):
    started: AttemptStarted
    at: float


class Flights:
    """Own the attempts that have begun and not ended."""

    def __init__(self) -> None:
        self._flights: dict[int, _Flight] = {}
        self._served_at: dict[str, float] = {}

    def start(self, started: AttemptStarted, now: float) -> None:
        """Take an attempt that begins at ``now`` (seconds)."""
        self._flights[started.ticket] = _Flight(started, now)

    def end(self, ticket: int) -> None:
        """Forget an ended attempt."""
        self._flights.pop(ticket, None)

    def note_served(self, server_id: str, now: float) -> None:
        """Note that a server answers on some connection."""
        self._served_at[server_id] = now

    def forget(self, server_id: str) -> None:
        """Forget the attempts on a server that is ejected."""
        self._flights = {
            ticket: flight
            for ticket, flight in self._flights.items()
            if flight.started.server_id != server_id
        }

    def overdue(
        self, usual: Mapping[tuple[str, str], float | None], now: float
    ) -> Mapping[str, Overdue]:
        """Count overdue attempts a server.

        ``usual`` holds the log latency to expect by route and server.
        """
        self._expire(now)
        counts: dict[str, Overdue] = {}
        for started, at in self._flights.values():
            expected = usual.get((started.route, started.server_id))
            if expected is None:
                continue
            limit_s = max(OVERDUE_LEAST_S, OVERDUE_RATIO * math.exp(expected))
            if now - at < limit_s:
                continue
            is_weak = started.was_reused and now - at < STUCK_S
            if started.was_reused and self._served_since(started.server_id, at):
                continue
            seen = counts.get(started.server_id, Overdue(0, 0))
            counts[started.server_id] = _count(seen, is_weak)
        return counts

    def pairs(self) -> frozenset[tuple[str, str]]:
        """Return the routes and servers of the attempts in flight."""
        return frozenset(
            (flight.started.route, flight.started.server_id)
            for flight in self._flights.values()
        )

    def _served_since(self, server_id: str, at: float) -> bool:
        return self._served_at.get(server_id, -math.inf) > at

    def _expire(self, now: float) -> None:
        # An attempt whose end was never reported must not stay for good.
        old = [
            ticket
            for ticket, flight in self._flights.items()
            if now - flight.at > _FORGET_S
        ]
        for ticket in old:
            del self._flights[ticket]


def _count(seen: Overdue, is_weak: bool) -> Overdue:
    if is_weak:
        return seen._replace(weak=seen.weak + 1)
    return seen._replace(strong=seen.strong + 1)
