"""Own one pool's traffic: admission, order, selection and slots."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.fairness import FairShares
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput
from pimentobend_core._internal.traffic.messages import TrafficTick
from pimentobend_core._internal.traffic.refusals import Refusals
from pimentobend_core._internal.traffic.retries import TokenBudget
from pimentobend_core._internal.traffic.roster import Roster
from pimentobend_core._internal.traffic.selection import Candidate
from pimentobend_core._internal.traffic.selection import LeastLoadedOfFew
from pimentobend_core._internal.traffic.selection import Selector
from pimentobend_core._internal.traffic.times import RouteTimes
from pimentobend_core._internal.traffic.times import SizeClass
from pimentobend_core._internal.traffic.waiting import EarliestDeadlineFirst
from pimentobend_core._internal.traffic.waiting import QueueOrder
from pimentobend_core._internal.traffic.waiting import Waiting
from pimentobend_core._internal.traffic.waiting import WaitingQueue

WAIT_SHARE = 0.5  # of the time left when a request arrives
FAR_ROUND_TRIP_S = 0.06
PROBE_SHARE = 0.1  # of answers
PROBE_FLOOR_PER_S = 5.0
SCAN_DEPTH = 4  # entries a lane
SHORT_SLOTS_KEPT = 1.0  # a server


class InFlight(NamedTuple):
    """Remember a granted ticket."""

    server_id: str
    route: str
    granted_at: float
    is_probe: bool


class PoolTraffic(StatefulFilter[TrafficInput, TrafficOutput]):
    """Give the slots of one pool's servers to the requests that ask."""

    def __init__(
        self,
        pool: Pool,
        local_data_centre: str,
        local_region: str,
        seed: int,
        selector: Selector | None = None,
        order: QueueOrder | None = None,
    ) -> None:
        rng = random.Random(seed)
        self._pool = pool
        self._roster = Roster(local_data_centre, local_region)
        self._selector = selector or LeastLoadedOfFew(rng)
        self._queue = WaitingQueue(order or EarliestDeadlineFirst())
        self._times = RouteTimes()
        self._shares = FairShares(seed)
        self._refusals = Refusals(rng)
        self._probes = TokenBudget(PROBE_SHARE, PROBE_FLOOR_PER_S)
        self._in_flight: dict[int, InFlight] = {}
        self._now = 0.0

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        """Take one message at ``now`` (seconds) and return those that follow."""
        self._now = now
        match message:
            case Acquire():
                return self._acquire(message, now)
            case AttemptEnded():
                self._end(message, now)
            case Abandon():
                self._abandon(message.ticket)
            case ServersChanged():
                self._roster.change_servers(message.servers, now)
            case HealthChanged():
                self._roster.change_health(dict(message.weights))
            case ConfigurePool():
                self._pool = message.pool
                return (*self._trim(now), *self._dispatch(now))
            case TrafficTick():
                return (*self._expire(now), *self._dispatch(now))
        return self._dispatch(now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "pool": self._pool.name,
            "queued": len(self._queue),
            "queue_limit": self._pool.queue_limit,
            "in_flight": len(self._in_flight),
            "probes": round(self._probes.tokens, 2),
            "organisations": self._shares.active,
            "long_routes": sorted(self._times.long_routes),
            "mean_hold_s": round(self._times.pool.mean_s, 4),
            "servers": self._roster.dump(self._now, self._times.pool.usual_s),
        }

    def _acquire(self, message: Acquire, now: float) -> tuple[TrafficOutput, ...]:
        if message.ticket in self._queue or message.ticket in self._in_flight:
            return ()
        if self._is_hopeless(message, now):
            return (self._reject(message, RefusalReason.DEADLINE, 0.0),)
        if not self._roster.has_usable():
            return (self._reject(message, RefusalReason.NO_SERVER, 0.0),)
        size = self._times.size(message.route)
        if message.is_hedge:
            return (self._hedge(message, size, now),)
        is_over = self._shares.is_over(message.organisation, now)
        entry = self._queue.place(message, size, is_over, now)
        refused = self._admit(entry, now)
        return (*refused, *self._dispatch(now))

    def _admit(self, entry: Waiting, now: float) -> tuple[TrafficOutput, ...]:
        """Queue a request, or serve it far away, or refuse it."""
        message = entry.message
        ahead = self._queue.ahead(entry)
        wait_s = self._wait_s(ahead, now)
        if ahead and wait_s > WAIT_SHARE * (message.deadline - now):
            return (self._turn_away(entry, RefusalReason.DEADLINE, wait_s, now),)
        if len(self._queue) < max(1, self._pool.queue_limit):
            self._enqueue(entry, now)
            return ()
        last = self._queue.last()
        if last is None or entry.band >= last.band:
            return (self._turn_away(entry, RefusalReason.QUEUE_FULL, wait_s, now),)
        self._queue.remove(last.message.ticket)
        self._enqueue(entry, now)
        return (self._reject(last.message, RefusalReason.FAIR_SHARE, wait_s),)

    def _enqueue(self, entry: Waiting, now: float) -> None:
        if not entry.message.is_retry:
            self._shares.charge(entry.message.organisation, now)
        self._queue.add(entry)

    def _turn_away(
        self, entry: Waiting, reason: RefusalReason, wait_s: float, now: float
    ) -> TrafficOutput:
        """Serve a request in another region, or refuse it."""
        message = entry.message
        if entry.band:
            return self._reject(message, RefusalReason.FAIR_SHARE, wait_s)
        needed_s = FAR_ROUND_TRIP_S + self._times.of(message.route).expected_s(now)
        if now + needed_s < message.deadline:
            candidates = self._candidates(entry.size, now, allow_far=True)
            chosen = self._choose(message, candidates, now)
            if chosen is not None:
                return self._grant(message, chosen, now)
        return self._reject(message, reason, wait_s)

    def _hedge(self, message: Acquire, size: SizeClass, now: float) -> TrafficOutput:
        """Grant a hedge only a slot that nobody waits for."""
        if not len(self._queue):
            spare = self._candidates(SizeClass.LONG, now, allow_far=False)
            fresh = [one for one in spare if one.server_id not in message.excluded]
            if fresh:
                return self._grant(message, self._selector.select(fresh), now)
        return self._reject(message, RefusalReason.QUEUE_FULL, 0.0)

    def _end(self, message: AttemptEnded, now: float) -> None:
        held = self._in_flight.pop(message.ticket, None)
        if held is None:
            return
        if message.kind is AttemptKind.ANSWERED:
            self._probes.earn(1.0 if held.is_probe else PROBE_SHARE)
        is_whole = message.kind is AttemptKind.ANSWERED and message.status < 500
        if is_whole:
            self._times.note(held.route, now - held.granted_at, now)
        self._roster.note_end(held.server_id, message, held.is_probe, now)
        self._roster.release(held.server_id)

    def _abandon(self, ticket: int) -> None:
        self._queue.remove(ticket)
        held = self._in_flight.pop(ticket, None)
        if held is not None:
            self._roster.release(held.server_id)

    def _dispatch(self, now: float) -> tuple[TrafficOutput, ...]:
        """Grant free slots in order, and shed what can no longer be served."""
        if not len(self._queue):
            return ()
        if not self._roster.has_usable():
            return self._clear()
        given: list[TrafficOutput] = []
        while (output := self._serve_next(now)) is not None:
            given.append(output)
        return tuple(given)

    def _serve_next(self, now: float) -> TrafficOutput | None:
        waiting = self._queue.sizes()
        for_size = {size: self._candidates(size, now, False) for size in waiting}
        sizes = tuple(size for size in waiting if for_size[size])
        for entry in self._queue.first(sizes, SCAN_DEPTH):
            message = entry.message
            if self._is_hopeless(message, now):
                self._queue.remove(message.ticket)
                return self._reject(message, RefusalReason.DEADLINE, 0.0)
            chosen = self._choose(message, for_size[entry.size], now)
            if chosen is not None:
                self._queue.remove(message.ticket)
                return self._grant(message, chosen, now)
        return None

    def _candidates(
        self, size: SizeClass, now: float, allow_far: bool
    ) -> list[Candidate]:
        spare = SHORT_SLOTS_KEPT if size is SizeClass.LONG else 0.0
        hold_s = self._times.pool.usual_s
        found = self._roster.free(now, hold_s, spare, allow_far)
        if self._probes.can_spend(now):
            return found
        return [candidate for candidate in found if not candidate.is_probe]

    def _choose(
        self, message: Acquire, candidates: list[Candidate], now: float
    ) -> Candidate | None:
        """Choose a server, one that failed this request only at the last."""
        if message.excluded:
            barred = self._roster.barred(message.excluded, now)
            candidates = [one for one in candidates if one.server_id not in barred]
        return self._selector.select(candidates) if candidates else None

    def _grant(self, message: Acquire, chosen: Candidate, now: float) -> Granted:
        self._roster.take(chosen.server_id)
        if chosen.is_probe:
            self._probes.spend(now)
        self._in_flight[message.ticket] = InFlight(
            chosen.server_id, message.route, now, chosen.is_probe
        )
        return Granted(message.ticket, self._roster.server(chosen.server_id))

    def _reject(
        self, message: Acquire, reason: RefusalReason, wait_s: float
    ) -> Rejected:
        return Rejected(message.ticket, self._refusals.build(reason, wait_s))

    def _is_hopeless(self, message: Acquire, now: float) -> bool:
        needed_s = self._times.of(message.route).expected_s(now)
        return now + needed_s >= message.deadline

    def _wait_s(self, ahead: int, now: float) -> float:
        """Estimate the wait behind ``ahead`` requests, in seconds."""
        working = sum(
            1
            for held in self._in_flight.values()
            if not self._times.of(held.route).is_straggler(now - held.granted_at)
        )
        return (ahead + 1) * self._times.pool.mean_s / max(1, working)

    def _expire(self, now: float) -> tuple[TrafficOutput, ...]:
        late = [entry for entry in self._queue if self._is_hopeless(entry.message, now)]
        for entry in late:
            self._queue.remove(entry.message.ticket)
        return tuple(
            self._reject(entry.message, RefusalReason.DEADLINE, 0.0) for entry in late
        )

    def _trim(self, now: float) -> tuple[TrafficOutput, ...]:
        refused: list[TrafficOutput] = []
        while len(self._queue) > max(1, self._pool.queue_limit):
            last = self._queue.last()
            assert last is not None
            self._queue.remove(last.message.ticket)
            wait_s = self._wait_s(len(self._queue), now)
            refused.append(self._reject(last.message, RefusalReason.QUEUE_FULL, wait_s))
        return tuple(refused)

    def _clear(self) -> tuple[TrafficOutput, ...]:
        entries = sorted(self._queue)
        for entry in entries:
            self._queue.remove(entry.message.ticket)
        return tuple(
            self._reject(entry.message, RefusalReason.NO_SERVER, 0.0)
            for entry in entries
        )
