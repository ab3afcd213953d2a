"""Decide what the backend servers beside a daemon run, and when."""

import enum
from collections.abc import Mapping

from pimentobend_core._internal.forwarding.backlog import Backlog
from pimentobend_core._internal.forwarding.backlog import Place
from pimentobend_core._internal.forwarding.durations import RouteDurations
from pimentobend_core._internal.forwarding.liveness import Liveness
from pimentobend_core._internal.forwarding.liveness import Survival
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import Joined
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StopTaking
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import ServerBudget

QUEUE_LIMIT = 128  # attempts a server
RECORDS_LIMIT = 20_000  # attempts; 42 s at the design's rate need 10,000
KEEP_S = 30.0  # past the deadline, while a copy may be held up on its way
TRIAL_INTERVAL_S = 1.5  # at the longest, a doubtful server is tried so often
TRIAL_RISK = 0.1  # above it a server is doubtful
COLD_MULTIPLE = 2.0  # of the usual times, while a server warms up
LEAST_TIME_SHARE = 0.5  # of the median, below which hardly an answer comes
UNREACHABLE_S = 0.5  # without offers after a connection was refused


class _Phase(enum.Enum):
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class _Record:
    """Hold one attempt for as long as it may be submitted again."""

    __slots__ = ("phase", "started_at", "submit")

    def __init__(self, submit: Submit) -> None:
        self.submit = submit
        self.phase = _Phase.QUEUED
        self.started_at = 0.0


class _Hosted:
    """Hold what is known of one server."""

    def __init__(self, server: Server, terms: BudgetTerms, now: float) -> None:
        self.server = server
        self.budget = ServerBudget(terms)
        self.running: set[str] = set()
        self.backlog = Backlog()
        self.liveness = Liveness(now)
        self.durations = RouteDurations()
        self.unreachable_until = 0.0

    @property
    def is_ready(self) -> bool:
        """Say whether the server takes new work."""
        return self.server.state is not ServerState.DRAINING

    @property
    def slowness(self) -> float:
        """Return how many times as long as usual answers take."""
        return COLD_MULTIPLE if self.server.is_cold else 1.0

    def survival(self, submit: Submit) -> Survival:
        """Return the share of a route's requests that take longer, by seconds."""
        durations = self.durations.of(submit.route, submit.target_s)
        slowness = self.slowness
        return lambda seconds: durations.survival(seconds / slowness)

    @property
    def free_slots(self) -> int:
        """Return how many more requests the server can run."""
        return max(0, self.server.slots - len(self.running))


class ServerHost(StatefulFilter[HostInput, HostOutput]):
    """Own the slots, the queue and the attempts of the servers beside a daemon.

    Every request for these servers passes here, so what runs is known exactly,
    and an attempt runs at most once however often it is submitted.
    """

    def __init__(self, process_id: int, terms: BudgetTerms) -> None:
        self._process_id = process_id
        self._terms = terms
        self._sizes: dict[str, int] = {}
        self._servers: dict[str, _Hosted] = {}
        self._records: dict[str, _Record] = {}
        self._number = 0
        self._is_stopping = False

    def handle(self, message: HostInput, now: float) -> tuple[HostOutput, ...]:
        """Take a question, an attempt, the end of a call or a tick."""
        match message:
            case Ask():
                return (self._bid(message, now),)
            case Submit():
                return self._submit(message, now)
            case CallEnded():
                return self._end(message, now)
            case Withdraw():
                return self._withdraw(message)
            case ServerListed():
                return self._list(message.server, now)
            case ServerUnlisted():
                return self._unlist(message.server_id)
            case StopTaking():
                self._is_stopping = True
            case ServiceSizes():
                self._sizes = dict(message.servers)
            case HostTick():
                return self._tick(now)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "attempts": len(self._records),
            "is_stopping": self._is_stopping,
            "servers": {
                server_id: {
                    "service": hosted.server.service,
                    "state": hosted.server.state.value,
                    "slots": hosted.server.slots,
                    "running": sorted(hosted.running),
                    "queued": [place.attempt_id for place in hosted.backlog],
                }
                for server_id, hosted in sorted(self._servers.items())
            },
        }

    def _bid(self, ask: Ask, now: float) -> Bids:
        bids = tuple(
            self._describe(hosted, ask.route, now)
            for hosted in self._servers.values()
            if hosted.server.service == ask.service and self._may_offer(hosted, now)
        )
        return Bids(ask.token, self._process_id, bids)

    def _may_offer(self, hosted: _Hosted, now: float) -> bool:
        if self._is_stopping or not hosted.is_ready:
            return False
        return now >= hosted.unreachable_until and len(hosted.backlog) < QUEUE_LIMIT

    def _describe(self, hosted: _Hosted, route: str, now: float) -> Bid:
        durations = hosted.durations.of(route)
        slowness = hosted.slowness
        wait_s = 0.0
        if not hosted.free_slots:
            ahead_s = hosted.backlog.work_before(now + durations.patience_s)
            ahead_s += durations.mean_s
            wait_s = slowness * ahead_s / max(1, hosted.server.slots)
        risk = hosted.liveness.risk(now)
        is_quiet = hosted.liveness.quiet_s(now) >= TRIAL_INTERVAL_S
        return Bid(
            hosted.server.server_id,
            round(risk, 3),
            hosted.free_slots,
            round(wait_s, 3),
            round(slowness * durations.usual_s, 3),
            risk > TRIAL_RISK and is_quiet and hosted.free_slots > 0,
            self._takes_repeats(hosted, now),
        )

    def _takes_repeats(self, hosted: _Hosted, now: float) -> bool:
        servers = self._sizes.get(hosted.server.service, 1)
        return hosted.budget.allows(servers, now)

    def _submit(self, submit: Submit, now: float) -> tuple[HostOutput, ...]:
        if submit.attempt_id in self._records:
            return (Joined(submit.attempt_id),)
        hosted = self._servers.get(submit.server_id)
        record = _Record(submit)
        reason = self._find_reason(hosted, submit, now)
        if hosted is None or reason is not None:
            # kept, as a delayed copy of the submission must not run later
            self._records[submit.attempt_id] = record
            return (self._decline(record, reason or DeclineReason.NO_SERVER),)
        self._records[submit.attempt_id] = record
        self._number += 1
        hosted.budget.note(now, is_repeat=submit.is_repeat)
        durations = hosted.durations.of(submit.route, submit.target_s)
        durations.follow_target(submit.target_s, submit.priority)
        due = min(now + durations.patience_s, submit.deadline)
        attempt_id = submit.attempt_id
        place = Place(due, self._number, attempt_id, durations.mean_s)
        hosted.backlog.add(place)
        return self._start(hosted, now)

    def _find_reason(
        self, hosted: _Hosted | None, submit: Submit, now: float
    ) -> DeclineReason | None:
        if hosted is None:
            return DeclineReason.NO_SERVER
        if self._is_stopping or not hosted.is_ready:
            return DeclineReason.DRAINING
        if now >= submit.deadline:
            return DeclineReason.DEADLINE
        is_full = len(hosted.backlog) >= QUEUE_LIMIT
        if is_full or len(self._records) >= RECORDS_LIMIT:
            return DeclineReason.FULL
        if submit.is_repeat and not self._takes_repeats(hosted, now):
            return DeclineReason.BUDGET
        return None

    def _start(self, hosted: _Hosted, now: float) -> tuple[HostOutput, ...]:
        """Give the free slots to those who wait."""
        outputs: list[HostOutput] = []
        while hosted.backlog and hosted.free_slots and hosted.is_ready:
            record = self._records[hosted.backlog.take().attempt_id]
            submit = record.submit
            if not self._has_time(hosted, submit, now):
                outputs.append(self._decline(record, DeclineReason.DEADLINE))
                continue
            record.phase = _Phase.RUNNING
            record.started_at = now
            hosted.running.add(submit.attempt_id)
            survival = hosted.survival(submit)
            hosted.liveness.sent(submit.attempt_id, survival, now)
            outputs.append(StartCall(submit.attempt_id, hosted.server))
        return tuple(outputs)

    def _has_time(self, hosted: _Hosted, submit: Submit, now: float) -> bool:
        """Say whether an answer may come before the deadline."""
        least_s = LEAST_TIME_SHARE * hosted.durations.of(submit.route).median_s
        return now + least_s < submit.deadline

    def _end(self, ended: CallEnded, now: float) -> tuple[HostOutput, ...]:
        record = self._records.get(ended.attempt_id)
        if record is None or record.phase is not _Phase.RUNNING:
            return ()
        record.phase = _Phase.ENDED
        hosted = self._servers.get(record.submit.server_id)
        if hosted is None:
            return ()
        hosted.running.discard(ended.attempt_id)
        self._judge(hosted, record, ended.kind, now)
        return self._start(hosted, now)

    def _judge(
        self, hosted: _Hosted, record: _Record, kind: EndKind, now: float
    ) -> None:
        attempt_id = record.submit.attempt_id
        if kind is EndKind.GOOD:
            route = record.submit.route
            seconds = (now - record.started_at) / hosted.slowness
            hosted.durations.of(route).note(seconds)
            hosted.liveness.ended(attempt_id, now, is_good=True)
        elif kind is EndKind.GIVEN_UP:
            hosted.liveness.ended(attempt_id, now, is_good=None)
        else:
            hosted.liveness.ended(attempt_id, now, is_good=False)
        if kind is EndKind.UNREACHABLE:
            hosted.unreachable_until = now + UNREACHABLE_S

    def _withdraw(self, message: Withdraw) -> tuple[HostOutput, ...]:
        """Drop a queued attempt; break off one that may be repeated."""
        attempt_id = message.attempt_id
        record = self._records.get(attempt_id)
        if record is None:
            return ()
        if record.phase is _Phase.QUEUED:
            hosted = self._servers.get(record.submit.server_id)
            if hosted is not None:
                hosted.backlog.remove(attempt_id)
            return (self._decline(record, DeclineReason.WITHDRAWN),)
        is_running = record.phase is _Phase.RUNNING and not message.only_queued
        if is_running and record.submit.is_repeatable:
            return (CancelCall(attempt_id),)
        return ()

    def _decline(self, record: _Record, reason: DeclineReason) -> Declined:
        record.phase = _Phase.ENDED
        return Declined(record.submit.attempt_id, reason)

    def _list(self, server: Server, now: float) -> tuple[HostOutput, ...]:
        hosted = self._servers.get(server.server_id)
        if hosted is None or server.incarnation != hosted.server.incarnation:
            gone = self._unlist(server.server_id)
            hosted = self._servers[server.server_id] = _Hosted(server, self._terms, now)
            return gone
        hosted.server = server
        if hosted.is_ready:
            return self._start(hosted, now)
        return self._clear(hosted, DeclineReason.DRAINING)

    def _unlist(self, server_id: str) -> tuple[HostOutput, ...]:
        hosted = self._servers.pop(server_id, None)
        return () if hosted is None else self._clear(hosted, DeclineReason.NO_SERVER)

    def _clear(self, hosted: _Hosted, reason: DeclineReason) -> tuple[HostOutput, ...]:
        places = hosted.backlog.clear()
        records = [self._records[place.attempt_id] for place in places]
        return tuple(self._decline(record, reason) for record in records)

    def _tick(self, now: float) -> tuple[HostOutput, ...]:
        outputs: list[HostOutput] = []
        for hosted in self._servers.values():
            late = [
                place
                for place in hosted.backlog
                if not self._has_time(
                    hosted, self._records[place.attempt_id].submit, now
                )
            ]
            for place in late:
                hosted.backlog.remove(place.attempt_id)
                record = self._records[place.attempt_id]
                outputs.append(self._decline(record, DeclineReason.DEADLINE))
        self._records = {
            attempt_id: record
            for attempt_id, record in self._records.items()
            if record.phase is not _Phase.ENDED or now < record.submit.deadline + KEEP_S
        }
        return tuple(outputs)
