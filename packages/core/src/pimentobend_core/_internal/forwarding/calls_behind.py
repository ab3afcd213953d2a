"""Learn what the runs of a server call, and what share of them has room there.

A call is a request that a backend server makes while it runs another one. The daemon
beside the server sees its runs as their host, and its calls as their origin.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.forwarding.messages import AdmitShareChanged
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallRoomSeen

ROUTES_LIMIT = 512
MIN_GAIN = 0.05  # weight of a new run after the first 20 runs
# Fewer calls per run may be clients' requests that are taken for calls by chance.
MIN_CALLS_PER_RUN = 0.05
ROOM_GAIN = 0.7  # weight of new bids, which come with each call
STEP_S = 0.5
# A wave of demand doubles within 3 s, and its calls hold slots while they wait.
MAX_DECREASE = 0.5  # of a share, per step
MAX_INCREASE = 1.25
# Some calls must go on, as the demand is measured from them.
MIN_SHARE = 0.05
# A room that no call has asked for in this time is taken to grow.
QUIET_S = 4.0
REPORT_S = 5.0  # least time between two reports on a route
REPORTED_CHANGE = 0.1


class _RouteCalls:
    """Calls per run of one route, by service, as moving averages over the runs."""

    def __init__(self) -> None:
        self._runs = 0
        self._gain = 1.0
        self.per_run: dict[str, float] = {}

    def begin_run(self) -> None:
        self._runs += 1
        self._gain = max(MIN_GAIN, 1.0 / self._runs)
        for service in self.per_run:
            self.per_run[service] *= 1.0 - self._gain

    def add_call(self, service: str, weight: float) -> None:
        calls = self.per_run.get(service, 0.0)
        self.per_run[service] = calls + self._gain * weight

    @property
    def services(self) -> list[str]:
        """Return the services that the runs call."""
        return [
            service
            for service, calls in self.per_run.items()
            if calls >= MIN_CALLS_PER_RUN
        ]


class _Room(NamedTuple):
    room: float  # slots for calls and slots that calls want, as moving averages
    demand: float
    seen_at: float
    share: float = 1.0  # of the demand that is admitted

    @property
    def goal(self) -> float:
        """Return the share of the demand that has room."""
        return 1.0 if self.demand <= self.room else self.room / self.demand

    def step(self) -> "_Room":
        """Return the room with a share one step nearer to its goal."""
        low = max(MIN_SHARE, MAX_DECREASE * self.share)
        high = min(1.0, MAX_INCREASE * self.share)
        return self._replace(share=min(high, max(low, self.goal)))


class _Report(NamedTuple):
    share: float
    at: float


class CallsBehind:
    """Share of each route's requests that the services behind a server have room for.

    The called servers state how much of the calls' demand they have room for.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCalls] = {}
        self._rooms: dict[str, _Room] = {}
        self._reports: dict[str, _Report] = {}
        self._stepped_at = -math.inf

    def begin_run(self, route: str) -> None:
        """Record that a run of a route starts."""
        calls = self._routes.get(route)
        if calls is None:
            if len(self._routes) >= ROUTES_LIMIT:
                oldest = next(iter(self._routes))
                del self._routes[oldest]
                self._reports.pop(oldest, None)
            calls = self._routes[route] = _RouteCalls()
        calls.begin_run()

    def note(self, message: CallMade | CallRoomSeen, now: float) -> None:
        """Record a call, or the room that the called service stated."""
        match message:
            case CallMade():
                weight = 1.0 / len(message.routes)
                for route in message.routes:
                    if route in self._routes:
                        self._routes[route].add_call(message.service, weight)
            case CallRoomSeen():
                self._note_room(message, now)

    def share(self, route: str) -> float:
        """Return the share of a route's requests whose calls have room, up to 1."""
        calls = self._routes.get(route)
        if calls is None:
            return 1.0
        rooms = (self._rooms.get(service) for service in calls.services)
        shares = (room.share for room in rooms if room is not None)
        return round(min(shares, default=1.0), 2)

    def tick(self, now: float) -> tuple[AdmitShareChanged, ...]:
        """Let rooms grow that no call asks for, and return the shares to report."""
        if now - self._stepped_at < STEP_S:
            return ()
        self._stepped_at = now
        for service, room in tuple(self._rooms.items()):
            is_quiet = now - room.seen_at >= QUIET_S
            stepped = (room._replace(demand=0.0) if is_quiet else room).step()
            if is_quiet and stepped.share == 1.0:
                del self._rooms[service]
            else:
                self._rooms[service] = stepped
        return tuple(
            AdmitShareChanged(route, tuple(calls.services), self.share(route))
            for route, calls in self._routes.items()
            if self._must_report(route, now)
        )

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "calls_per_run": {
                route: {name: round(each, 2) for name, each in calls.per_run.items()}
                for route, calls in self._routes.items()
                if calls.services
            },
            "rooms": {name: round(room.share, 2) for name, room in self._rooms.items()},
        }

    def _note_room(self, seen: CallRoomSeen, now: float) -> None:
        first = _Room(seen.room, seen.demand, now)
        last = self._rooms.get(seen.service, first)
        self._rooms[seen.service] = last._replace(
            room=last.room + ROOM_GAIN * (seen.room - last.room),
            demand=last.demand + ROOM_GAIN * (seen.demand - last.demand),
            seen_at=now,
        )

    def _must_report(self, route: str, now: float) -> bool:
        """Return whether a route's share is reported now, and record that it is."""
        share = self.share(route)
        last = self._reports.get(route, _Report(1.0, -math.inf))
        is_changed = abs(share - last.share) >= REPORTED_CHANGE
        is_restored = share == 1.0 and last.share < 1.0
        if now - last.at < REPORT_S or not (is_changed or is_restored):
            return False
        self._reports[route] = _Report(share, now)
        return True
