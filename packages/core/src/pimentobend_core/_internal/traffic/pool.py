"""Admit, queue and assign the requests of one pool to its backend servers."""

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
from pimentobend_core._internal.traffic.retries import TokenBucket
from pimentobend_core._internal.traffic.roster import Roster
from pimentobend_core._internal.traffic.selection import Candidate
from pimentobend_core._internal.traffic.selection import LeastLoadedOfSample
from pimentobend_core._internal.traffic.selection import Selector
from pimentobend_core._internal.traffic.times import RouteTimes
from pimentobend_core._internal.traffic.times import SizeClass
from pimentobend_core._internal.traffic.waiting import EarliestDeadlineFirst
from pimentobend_core._internal.traffic.waiting import QueuedRequest
from pimentobend_core._internal.traffic.waiting import QueueOrder
from pimentobend_core._internal.traffic.waiting import WaitingQueue

# A request is not queued if its expected wait exceeds this share of the time that is
# left until its deadline.
MAX_WAIT_SHARE = 0.5
FAR_ROUND_TRIP_S = 0.06  # to a server in another region
# A probe is a request that is sent to a server whose last load report showed no free
# slot. Each answer allows this many more probes; the answer to a probe allows one.
PROBE_SHARE = 0.1
PROBE_FLOOR_PER_S = 5.0  # probes per second that are allowed without any answers
SCAN_DEPTH = 4  # queued requests of each size class that are examined for a grant
SHORT_RESERVE_SLOTS = 1.0  # slots per server that long requests leave free


class InFlightAttempt(NamedTuple):
    """An attempt that was granted a slot and has not ended."""

    server_id: str
    route: str
    granted_at: float
    is_probe: bool


class PoolTraffic(StatefulFilter[TrafficInput, TrafficOutput]):
    """Assign the slots of one pool's servers to requests.

    A request is granted a slot, queued until one is free, or refused when it
    could not be answered before its deadline.
    """

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
        self._selector = selector or LeastLoadedOfSample(rng)
        self._queue = WaitingQueue(order or EarliestDeadlineFirst())
        self._times = RouteTimes()
        self._shares = FairShares(seed)
        self._refusals = Refusals(rng)
        self._probes = TokenBucket(PROBE_SHARE, PROBE_FLOOR_PER_S)
        self._in_flight: dict[int, InFlightAttempt] = {}
        self._now = 0.0

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        """Process one message at ``now`` (seconds) and return grants and refusals."""
        self._now = now
        match message:
            case Acquire():
                return self._acquire(message, now)
            case AttemptEnded():
                self._handle_end(message, now)
            case Abandon():
                self._abandon(message.ticket)
            case ServersChanged():
                self._roster.change_servers(message.servers, now)
            case HealthChanged():
                self._roster.change_health(dict(message.weights))
            case ConfigurePool():
                self._pool = message.pool
                return (*self._enforce_queue_limit(now), *self._dispatch(now))
            case TrafficTick():
                return (*self._reject_expired(now), *self._dispatch(now))
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
            "servers": self._roster.dump(self._now, self._times.pool.typical_s),
        }

    def _acquire(self, message: Acquire, now: float) -> tuple[TrafficOutput, ...]:
        if message.ticket in self._queue or message.ticket in self._in_flight:
            return ()
        if self._would_miss_deadline(message, now):
            return (self._reject(message, RefusalReason.DEADLINE, 0.0),)
        if not self._roster.has_usable():
            return (self._reject(message, RefusalReason.NO_SERVER, 0.0),)
        size = self._times.size(message.route)
        if message.is_hedge:
            return (self._grant_or_reject_hedge(message, size, now),)
        is_over_share = self._shares.is_over_share(message.organisation, now)
        entry = self._queue.create_entry(message, size, is_over_share, now)
        outputs = self._admit(entry, now)
        return (*outputs, *self._dispatch(now))

    def _admit(self, entry: QueuedRequest, now: float) -> tuple[TrafficOutput, ...]:
        """Queue a request, grant it a server in another region, or refuse it."""
        message = entry.message
        ahead = self._queue.count_ahead(entry)
        wait_s = self._estimate_wait_s(ahead, now)
        if ahead and wait_s > MAX_WAIT_SHARE * (message.deadline - now):
            return (
                self._grant_far_or_reject(entry, RefusalReason.DEADLINE, wait_s, now),
            )
        if len(self._queue) < max(1, self._pool.queue_limit):
            self._enqueue(entry, now)
            return ()
        last_entry = self._queue.last_entry()
        if last_entry is None or entry.priority_band >= last_entry.priority_band:
            return (
                self._grant_far_or_reject(entry, RefusalReason.QUEUE_FULL, wait_s, now),
            )
        self._queue.remove(last_entry.message.ticket)
        self._enqueue(entry, now)
        return (self._reject(last_entry.message, RefusalReason.FAIR_SHARE, wait_s),)

    def _enqueue(self, entry: QueuedRequest, now: float) -> None:
        if not entry.message.is_retry:
            self._shares.charge(entry.message.organisation, now)
        self._queue.add(entry)

    def _grant_far_or_reject(
        self, entry: QueuedRequest, reason: RefusalReason, wait_s: float, now: float
    ) -> TrafficOutput:
        """Grant a request a server in another region, or refuse it.

        Requests of an organisation over its fair share are always refused.
        """
        message = entry.message
        if entry.priority_band:
            return self._reject(message, RefusalReason.FAIR_SHARE, wait_s)
        needed_s = FAR_ROUND_TRIP_S + self._times.get(message.route).expected_s(now)
        if now + needed_s < message.deadline:
            candidates = self._candidates(entry.size, now, allow_far=True)
            chosen = self._choose(message, candidates, now)
            if chosen is not None:
                return self._grant(message, chosen, now)
        return self._reject(message, reason, wait_s)

    def _grant_or_reject_hedge(
        self, message: Acquire, size: SizeClass, now: float
    ) -> TrafficOutput:
        """Grant a hedge a slot if no request is queued, or else refuse it.

        A hedge leaves the slots that are reserved for short requests, and does
        not go to a server that the request has already tried.
        """
        if not len(self._queue):
            spare = self._candidates(SizeClass.LONG, now, allow_far=False)
            untried = [one for one in spare if one.server_id not in message.excluded]
            if untried:
                return self._grant(message, self._selector.select(untried), now)
        return self._reject(message, RefusalReason.QUEUE_FULL, 0.0)

    def _handle_end(self, message: AttemptEnded, now: float) -> None:
        attempt = self._in_flight.pop(message.ticket, None)
        if attempt is None:
            return
        if message.kind is AttemptKind.ANSWERED:
            self._probes.credit(1.0 if attempt.is_probe else PROBE_SHARE)
        is_success = message.kind is AttemptKind.ANSWERED and message.status < 500
        if is_success:
            self._times.record(attempt.route, now - attempt.granted_at, now)
        self._roster.record_end(attempt.server_id, message, attempt.is_probe, now)
        self._roster.release(attempt.server_id)

    def _abandon(self, ticket: int) -> None:
        self._queue.remove(ticket)
        attempt = self._in_flight.pop(ticket, None)
        if attempt is not None:
            self._roster.release(attempt.server_id)

    def _dispatch(self, now: float) -> tuple[TrafficOutput, ...]:
        """Grant free slots in queue order and refuse requests that are too late."""
        if not len(self._queue):
            return ()
        if not self._roster.has_usable():
            return self._reject_all()
        outputs: list[TrafficOutput] = []
        while (output := self._grant_or_reject_next(now)) is not None:
            outputs.append(output)
        return tuple(outputs)

    def _grant_or_reject_next(self, now: float) -> TrafficOutput | None:
        waiting = self._queue.waiting_sizes()
        candidates_by_size = {
            size: self._candidates(size, now, False) for size in waiting
        }
        servable = tuple(size for size in waiting if candidates_by_size[size])
        for entry in self._queue.heads(servable, SCAN_DEPTH):
            message = entry.message
            if self._would_miss_deadline(message, now):
                self._queue.remove(message.ticket)
                return self._reject(message, RefusalReason.DEADLINE, 0.0)
            chosen = self._choose(message, candidates_by_size[entry.size], now)
            if chosen is not None:
                self._queue.remove(message.ticket)
                return self._grant(message, chosen, now)
        return None

    def _candidates(
        self, size: SizeClass, now: float, allow_far: bool
    ) -> list[Candidate]:
        reserved_slots = SHORT_RESERVE_SLOTS if size is SizeClass.LONG else 0.0
        hold_s = self._times.pool.typical_s
        found = self._roster.candidates(now, hold_s, reserved_slots, allow_far)
        if self._probes.can_spend(now):
            return found
        return [candidate for candidate in found if not candidate.is_probe]

    def _choose(
        self, message: Acquire, candidates: list[Candidate], now: float
    ) -> Candidate | None:
        """Select a server, avoiding those that failed this request if others remain.

        A server that may fail all its work is to fail requests that can be repeated.
        """
        if message.excluded:
            still_excluded = self._roster.still_excluded(message.excluded, now)
            candidates = [
                one for one in candidates if one.server_id not in still_excluded
            ]
        if not message.repeatable:
            candidates = [one for one in candidates if one.is_proven] or candidates
        return self._selector.select(candidates) if candidates else None

    def _grant(self, message: Acquire, chosen: Candidate, now: float) -> Granted:
        self._roster.acquire(chosen.server_id)
        if chosen.is_probe:
            self._probes.spend(now)
        self._in_flight[message.ticket] = InFlightAttempt(
            chosen.server_id, message.route, now, chosen.is_probe
        )
        return Granted(message.ticket, self._roster.server(chosen.server_id))

    def _reject(
        self, message: Acquire, reason: RefusalReason, wait_s: float
    ) -> Rejected:
        return Rejected(message.ticket, self._refusals.build(reason, wait_s))

    def _would_miss_deadline(self, message: Acquire, now: float) -> bool:
        needed_s = self._times.get(message.route).expected_s(now)
        return now + needed_s >= message.deadline

    def _estimate_wait_s(self, ahead: int, now: float) -> float:
        """Estimate the queueing time behind ``ahead`` requests, in seconds.

        Slots that stragglers occupy are not expected to become free.
        """
        working = sum(
            1
            for attempt in self._in_flight.values()
            if not self._times.get(attempt.route).is_straggler(now - attempt.granted_at)
        )
        return (ahead + 1) * self._times.pool.mean_s / max(1, working)

    def _reject_expired(self, now: float) -> tuple[TrafficOutput, ...]:
        expired = [
            entry
            for entry in self._queue
            if self._would_miss_deadline(entry.message, now)
        ]
        for entry in expired:
            self._queue.remove(entry.message.ticket)
        return tuple(
            self._reject(entry.message, RefusalReason.DEADLINE, 0.0)
            for entry in expired
        )

    def _enforce_queue_limit(self, now: float) -> tuple[TrafficOutput, ...]:
        outputs: list[TrafficOutput] = []
        while len(self._queue) > max(1, self._pool.queue_limit):
            last_entry = self._queue.last_entry()
            assert last_entry is not None
            self._queue.remove(last_entry.message.ticket)
            wait_s = self._estimate_wait_s(len(self._queue), now)
            outputs.append(
                self._reject(last_entry.message, RefusalReason.QUEUE_FULL, wait_s)
            )
        return tuple(outputs)

    def _reject_all(self) -> tuple[TrafficOutput, ...]:
        entries = sorted(self._queue)
        for entry in entries:
            self._queue.remove(entry.message.ticket)
        return tuple(
            self._reject(entry.message, RefusalReason.NO_SERVER, 0.0)
            for entry in entries
        )
