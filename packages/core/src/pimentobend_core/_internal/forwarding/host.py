"""Admit, queue and start attempts on the backend servers registered with a daemon.

An attempt is one try to run a request on a server. The daemon that a server is
registered with is its host; the daemon that received the request is the origin,
which submits attempts to the host and may submit the same one more than once.
A repeat is a further attempt of a request (a retry or a hedge), made when an earlier
attempt may already have reached a server. A bid tells the
origin how soon a server could run an attempt, and with what risk.
"""

import enum
from collections.abc import Mapping

from pimentobend_core._internal.forwarding.backlog import Backlog
from pimentobend_core._internal.forwarding.backlog import QueuedAttempt
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
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StartDraining
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import ServerBudget

QUEUE_LIMIT = 128  # queued attempts per server
# Twice the 10,000 attempts that arrive within 42 s at a daemon's design rate.
RECORDS_LIMIT = 20_000  # attempts
# How long a record is kept after its attempt's deadline, because a delayed copy of
# the submission may still arrive and must not run.
RECORD_RETENTION_S = 30.0
# A doubtful server, one with a higher risk of failing than TRIAL_RISK, asks for a
# trial request after this time without any request.
TRIAL_INTERVAL_S = 1.5
TRIAL_RISK = 0.1
COLD_MULTIPLE = 2.0  # how many times as long a server takes while it warms up
# An attempt is declined if less than this share of its route's median answer time is
# left before the deadline, as hardly any answer takes less.
MIN_TIME_SHARE = 0.5
UNREACHABLE_S = 0.5  # how long no bids are made for an unreachable server


class _Phase(enum.Enum):
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class _AttemptRecord:
    """State of an attempt, kept while a copy of its submission may still arrive."""

    __slots__ = ("phase", "started_at", "submit")

    def __init__(self, submit: Submit) -> None:
        self.submit = submit
        self.phase = _Phase.QUEUED
        self.started_at = 0.0


class _HostedServer:
    """A server with its queue, its running attempts and its statistics."""

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
        """Return whether the server takes new attempts."""
        return self.server.state is not ServerState.DRAINING

    @property
    def slowdown(self) -> float:
        """Return how many times as long as a warmed-up server this one takes now."""
        return COLD_MULTIPLE if self.server.is_cold else 1.0

    def survival(self, submit: Submit) -> Survival:
        """Return the survival function of the durations of the attempt's route."""
        durations = self.durations.of(submit.route, submit.target_s)
        slowdown = self.slowdown
        return lambda seconds: durations.survival(seconds / slowdown)

    @property
    def free_slots(self) -> int:
        """Return how many more requests the server can run."""
        return max(0, self.server.slots - len(self.running))


class ServerHost(StatefulFilter[HostInput, HostOutput]):
    """Runs attempts on the free slots of this daemon's servers and queues the rest.

    Every request for these servers passes through here, so the number of free
    slots is known exactly, and an attempt runs at most once however often it is
    submitted.
    """

    def __init__(self, process_id: int, terms: BudgetTerms) -> None:
        self._process_id = process_id
        self._terms = terms
        self._service_sizes: dict[str, int] = {}
        self._servers: dict[str, _HostedServer] = {}
        self._records: dict[str, _AttemptRecord] = {}
        self._submissions = 0  # attempts that were queued so far
        self._is_stopping = False

    def handle(self, message: HostInput, now: float) -> tuple[HostOutput, ...]:
        """Process one message and return the replies and calls that follow."""
        match message:
            case Ask():
                return (self._answer_ask(message, now),)
            case Submit():
                return self._submit(message, now)
            case CallEnded():
                return self._handle_call_ended(message, now)
            case Withdraw():
                return self._withdraw(message)
            case ServerListed():
                return self._update_server(message.server, now)
            case ServerUnlisted():
                return self._remove_server(message.server_id)
            case StartDraining():
                self._is_stopping = True
            case ServiceSizes():
                self._service_sizes = dict(message.servers)
            case HostTick():
                return self._expire(now)
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
                    "queued": [queued.attempt_id for queued in hosted.backlog],
                }
                for server_id, hosted in sorted(self._servers.items())
            },
        }

    def _answer_ask(self, ask: Ask, now: float) -> Bids:
        bids = tuple(
            self._make_bid(hosted, ask.route, now)
            for hosted in self._servers.values()
            if hosted.server.service == ask.service and self._may_bid(hosted, now)
        )
        return Bids(ask.token, self._process_id, bids)

    def _may_bid(self, hosted: _HostedServer, now: float) -> bool:
        if self._is_stopping or not hosted.is_ready:
            return False
        return now >= hosted.unreachable_until and len(hosted.backlog) < QUEUE_LIMIT

    def _make_bid(self, hosted: _HostedServer, route: str, now: float) -> Bid:
        durations = hosted.durations.of(route)
        slowdown = hosted.slowdown
        wait_s = 0.0
        if not hosted.free_slots:
            ahead_s = hosted.backlog.work_before(now + durations.slack_s)
            ahead_s += durations.mean_s
            wait_s = slowdown * ahead_s / max(1, hosted.server.slots)
        risk = hosted.liveness.risk(now)
        is_idle = hosted.liveness.idle_s(now) >= TRIAL_INTERVAL_S
        return Bid(
            hosted.server.server_id,
            round(risk, 3),
            hosted.free_slots,
            round(wait_s, 3),
            round(slowdown * durations.p90_s, 3),
            risk > TRIAL_RISK and is_idle and hosted.free_slots > 0,
            self._has_repeat_budget(hosted, now),
        )

    def _has_repeat_budget(self, hosted: _HostedServer, now: float) -> bool:
        servers = self._service_sizes.get(hosted.server.service, 1)
        return hosted.budget.allows(servers, now)

    def _submit(self, submit: Submit, now: float) -> tuple[HostOutput, ...]:
        if submit.attempt_id in self._records:
            return (DuplicateSubmission(submit.attempt_id),)
        hosted = self._servers.get(submit.server_id)
        record = _AttemptRecord(submit)
        reason = self._find_decline_reason(hosted, submit, now)
        if hosted is None or reason is not None:
            # Keep the record, so that a delayed copy of the submission does not run.
            self._records[submit.attempt_id] = record
            return (self._decline(record, reason or DeclineReason.NO_SERVER),)
        self._records[submit.attempt_id] = record
        self._submissions += 1
        hosted.budget.note(now, is_repeat=submit.is_repeat)
        durations = hosted.durations.of(submit.route, submit.target_s)
        durations.set_target(submit.target_s, submit.priority)
        due = min(now + durations.slack_s, submit.deadline)
        attempt_id = submit.attempt_id
        queued = QueuedAttempt(due, self._submissions, attempt_id, durations.mean_s)
        hosted.backlog.add(queued)
        return self._start_queued(hosted, now)

    def _find_decline_reason(
        self, hosted: _HostedServer | None, submit: Submit, now: float
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
        if submit.is_repeat and not self._has_repeat_budget(hosted, now):
            return DeclineReason.BUDGET
        return None

    def _start_queued(
        self, hosted: _HostedServer, now: float
    ) -> tuple[HostOutput, ...]:
        """Start queued attempts while slots are free; decline late ones.

        An attempt is late if hardly any answer would come before its deadline.
        """
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
            hosted.liveness.record_sent(submit.attempt_id, survival, now)
            outputs.append(StartCall(submit.attempt_id, hosted.server))
        return tuple(outputs)

    def _has_time(self, hosted: _HostedServer, submit: Submit, now: float) -> bool:
        """Return whether an answer is still likely to come before the deadline."""
        needed_s = MIN_TIME_SHARE * hosted.durations.of(submit.route).median_s
        return now + needed_s < submit.deadline

    def _handle_call_ended(
        self, ended: CallEnded, now: float
    ) -> tuple[HostOutput, ...]:
        record = self._records.get(ended.attempt_id)
        if record is None or record.phase is not _Phase.RUNNING:
            return ()
        record.phase = _Phase.ENDED
        hosted = self._servers.get(record.submit.server_id)
        if hosted is None:
            return ()
        hosted.running.discard(ended.attempt_id)
        self._record_outcome(hosted, record, ended.kind, now)
        return self._start_queued(hosted, now)

    def _record_outcome(
        self, hosted: _HostedServer, record: _AttemptRecord, kind: EndKind, now: float
    ) -> None:
        attempt_id = record.submit.attempt_id
        if kind is EndKind.GOOD:
            route = record.submit.route
            seconds = (now - record.started_at) / hosted.slowdown
            hosted.durations.of(route).record(seconds)
            hosted.liveness.record_end(attempt_id, now, is_good=True)
        elif kind is EndKind.GIVEN_UP:
            hosted.liveness.record_end(attempt_id, now, is_good=None)
        else:
            hosted.liveness.record_end(attempt_id, now, is_good=False)
        if kind is EndKind.UNREACHABLE:
            hosted.unreachable_until = now + UNREACHABLE_S

    def _withdraw(self, message: Withdraw) -> tuple[HostOutput, ...]:
        """Decline a queued attempt; cancel a running one if it is repeatable."""
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

    def _decline(self, record: _AttemptRecord, reason: DeclineReason) -> Declined:
        record.phase = _Phase.ENDED
        return Declined(record.submit.attempt_id, reason)

    def _update_server(self, server: Server, now: float) -> tuple[HostOutput, ...]:
        hosted = self._servers.get(server.server_id)
        if hosted is None or server.incarnation != hosted.server.incarnation:
            declined = self._remove_server(server.server_id)
            hosted = self._servers[server.server_id] = _HostedServer(
                server, self._terms, now
            )
            return declined
        hosted.server = server
        if hosted.is_ready:
            return self._start_queued(hosted, now)
        return self._decline_queued(hosted, DeclineReason.DRAINING)

    def _remove_server(self, server_id: str) -> tuple[HostOutput, ...]:
        hosted = self._servers.pop(server_id, None)
        return (
            ()
            if hosted is None
            else self._decline_queued(hosted, DeclineReason.NO_SERVER)
        )

    def _decline_queued(
        self, hosted: _HostedServer, reason: DeclineReason
    ) -> tuple[HostOutput, ...]:
        removed = hosted.backlog.clear()
        records = [self._records[queued.attempt_id] for queued in removed]
        return tuple(self._decline(record, reason) for record in records)

    def _expire(self, now: float) -> tuple[HostOutput, ...]:
        outputs: list[HostOutput] = []
        for hosted in self._servers.values():
            too_late = [
                queued
                for queued in hosted.backlog
                if not self._has_time(
                    hosted, self._records[queued.attempt_id].submit, now
                )
            ]
            for queued in too_late:
                hosted.backlog.remove(queued.attempt_id)
                record = self._records[queued.attempt_id]
                outputs.append(self._decline(record, DeclineReason.DEADLINE))
        self._records = {
            attempt_id: record
            for attempt_id, record in self._records.items()
            if record.phase is not _Phase.ENDED
            or now < record.submit.deadline + RECORD_RETENTION_S
        }
        return tuple(outputs)
