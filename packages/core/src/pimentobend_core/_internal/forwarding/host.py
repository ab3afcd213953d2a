"""Admit, queue and start attempts on the backend servers registered with a daemon.

An attempt is one try to run a request on a server. The daemon that a server is
registered with is its host; the daemon that received the request is the origin,
which submits attempts to the host and may submit the same one more than once.
A repeat is a further attempt of a request (a retry or a hedge), made when an earlier
attempt may already have reached a server. A bid tells the
origin how soon a server could run an attempt, and with what risk.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from pimentobend_core._internal.crashes.detection import ProbeWanted
from pimentobend_core._internal.crashes.detection import Verdict
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.forwarding.backlog import QueuedAttempt
from pimentobend_core._internal.forwarding.bidding import has_place
from pimentobend_core._internal.forwarding.bidding import make_bid
from pimentobend_core._internal.forwarding.bidding import may_bid
from pimentobend_core._internal.forwarding.call_notes import CallWaits
from pimentobend_core._internal.forwarding.calls_behind import CallsBehind
from pimentobend_core._internal.forwarding.host_crashes import HostCrashes
from pimentobend_core._internal.forwarding.hosted_server import AttemptRecord
from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.hosted_server import Phase
from pimentobend_core._internal.forwarding.hosted_server import group_of
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallNote
from pimentobend_core._internal.forwarding.messages import CallReturned
from pimentobend_core._internal.forwarding.messages import CallRoomSeen
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import LocalRequestFailed
from pimentobend_core._internal.forwarding.messages import ProbeServer
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerProbed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StartDraining
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.forwarding.rejection import UNSAFE_RISK_LIMIT
from pimentobend_core._internal.forwarding.repeat_admission import BUDGET_REASONS
from pimentobend_core._internal.forwarding.repeat_admission import find_budget_reason
from pimentobend_core._internal.forwarding.repeat_admission import takes_repeats
from pimentobend_core._internal.forwarding.rooms import sample_rooms
from pimentobend_core._internal.forwarding.senders import RunTracker
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import ServiceBudgets

# Twice the 10,000 attempts that arrive within 42 s at a daemon's design rate.
RECORDS_LIMIT = 20_000  # attempts
# How long a record is kept after its attempt's deadline, because a delayed copy of
# the submission may still arrive and must not run.
RECORD_RETENTION_S = 30.0
# A submission that its withdrawal overtook arrives within this time.
WITHDRAWAL_RETENTION_S = 5.0
# A call ends at its deadline, and its end is reported within this time.
CALL_REPORT_S = 2.0
UNREACHABLE_S = 0.5  # how long no bids are made for an unreachable server
CRASHED_S = 1.0  # how long none are made for one that crashed, unless it is back


class ServerHost(StatefulFilter[HostInput, HostOutput]):
    """Runs attempts on the free slots of this daemon's servers and queues the rest.

    Every request for these servers passes through here, so the number of free
    slots is known exactly, and an attempt runs at most once however often it is
    submitted.
    """

    def __init__(
        self,
        process_id: int,
        terms: BudgetTerms,
        *,
        admits_by_calls: bool = False,
    ) -> None:
        self._process_id = process_id
        # Whether requests are admitted by the room that their calls have.
        self._admits_by_calls = admits_by_calls
        self._calls = CallsBehind()
        self._runs = RunTracker(matches_calls=admits_by_calls)
        self._budgets = ServiceBudgets(terms)
        self._servers: dict[str, HostedServer] = {}
        self._records: dict[str, AttemptRecord] = {}
        # When attempts were withdrawn whose submissions have not arrived yet.
        self._withdrawn: dict[str, float] = {}
        self._submissions = 0  # attempts that were queued so far
        self._is_stopping = False
        self._finish_by = math.inf  # what is still queued then must not start
        self._crashes = HostCrashes(process_id)
        self._call_waits = CallWaits()
        self._local_failure_at = -math.inf  # when a local client's request failed

    def handle(self, message: HostInput, now: float) -> tuple[HostOutput, ...]:
        """Process one message and return the replies and calls that follow."""
        outputs = self._dispatch(message, now)
        return (*outputs, *self._runs.take_change())

    def _dispatch(self, message: HostInput, now: float) -> tuple[HostOutput, ...]:
        match message:
            case Ask():
                return (self._answer_ask(message, now),)
            case Submit():
                return self._submit(message, now)
            case CallEnded():
                return self._handle_call_ended(message, now)
            case ServerProbed():
                return self._handle_probe(message, now)
            case Withdraw():
                return self._withdraw(message, now)
            case StartDraining():
                return self._start_draining(message, now)
            case ServerListed() | ServerUnlisted():
                return self._handle_listing(message, now)
            case ReportsReceived() | EarlierReportsSeen():
                return self._crashes.handle(message, now)
            case HostTick():
                return self._tick(now)
            case _:
                self._update_state(message, now)
        return ()

    def _tick(self, now: float) -> tuple[HostOutput, ...]:
        self._budgets.drop_unused(now)
        if self._admits_by_calls:
            sample_rooms(self._servers.values(), now)
        return (
            *self._expire(now),
            *self._crashes.handle(CrashTick(), now),
            *self._calls.tick(now),
        )

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "attempts": len(self._records),
            "is_stopping": self._is_stopping,
            "crashes": self._crashes.dump(),
            "calls": self._calls.dump(),
            "servers": {
                server_id: hosted.dump()
                for server_id, hosted in sorted(self._servers.items())
            },
        }

    def _update_state(
        self,
        message: ServiceSizes | LocalRequestFailed | CallNote,
        now: float,
    ) -> None:
        match message:
            case ServiceSizes():
                self._budgets.update_sizes(dict(message.servers), now)
            case LocalRequestFailed():
                self._local_failure_at = now
            case CallMade():
                self._calls.note(message, now)
                self._call_waits.note(message, self._records, self._servers, now)
            case CallReturned():
                self._call_waits.note(message, self._records, self._servers, now)
            case CallRoomSeen():
                self._calls.note(message, now)

    def _answer_ask(self, ask: Ask, now: float) -> Bids:
        bids = tuple(
            self._make_bid(hosted, ask, now)
            for hosted in self._servers.values()
            if hosted.server.service == ask.service
            and not self._is_stopping
            and may_bid(hosted, ask, now)
        )
        return Bids(ask.token, self._process_id, bids)

    def _make_bid(self, hosted: HostedServer, ask: Ask, now: float) -> Bid:
        budget = self._budgets.count(hosted.server.service, now)
        return make_bid(
            hosted,
            ask,
            now,
            takes_repeats=takes_repeats(budget, is_call=ask.is_call),
            takes_copies=budget.copies.find_refusal(hosted.free_slots) is None,
            admit_share=self._calls.share(ask.route),
        )

    def _submit(self, submit: Submit, now: float) -> tuple[HostOutput, ...]:
        if submit.attempt_id in self._records:
            return (DuplicateSubmission(submit.attempt_id),)
        learnt = self._crashes.learn(submit, now)
        hosted = self._servers.get(submit.server_id)
        record = AttemptRecord(submit, now)
        reason = self._find_decline_reason(hosted, record, now)
        if hosted is None or reason is not None:
            # Keep the record, so that a delayed copy of the submission does not run.
            self._records[submit.attempt_id] = record
            reason = reason or DeclineReason.NO_SERVER
            declined = self._decline(record, reason, now)
            if hosted is not None and reason in BUDGET_REASONS:
                state = self._budgets.count(hosted.server.service, now)
                declined = declined._replace(budget=state)
            return (*learnt, declined)
        self._records[submit.attempt_id] = record
        self._submissions += 1
        record.admit(self._budgets.of(hosted.server.service))
        hosted.enqueue(record, self._submissions, now)
        return (*learnt, *self._start_queued(hosted, now))

    def _find_decline_reason(
        self, hosted: HostedServer | None, record: AttemptRecord, now: float
    ) -> DeclineReason | None:
        submit = record.submit
        if hosted is None:
            return DeclineReason.NO_SERVER
        if submit.attempt_id in self._withdrawn:
            return DeclineReason.WITHDRAWN
        if self._is_stopping or not hosted.is_ready:
            return DeclineReason.DRAINING
        if now >= submit.deadline:
            return DeclineReason.DEADLINE
        is_full = not has_place(hosted, group_of(submit))
        if is_full or len(self._records) >= RECORDS_LIMIT:
            return DeclineReason.FULL
        queued = [each.attempt_id for each in hosted.backlog]
        crash_reason = self._find_crash_reason(submit, (*hosted.running, *queued), now)
        if crash_reason is not None:
            return crash_reason
        state = self._budgets.count(hosted.server.service, now)
        budget_reason = find_budget_reason(submit, state, hosted.free_slots)
        if budget_reason is not None:
            return budget_reason
        wait_s = hosted.wait_s(submit.route, now, group_of(submit))
        if not hosted.has_time(submit, now + wait_s):
            return DeclineReason.FULL
        return None

    def _find_crash_reason(
        self, submit: Submit, beside: Iterable[str], now: float
    ) -> DeclineReason | None:
        others = (self._records[attempt_id].submit for attempt_id in beside)
        return self._crashes.find_decline_reason(submit, others, now)

    def _start_queued(self, hosted: HostedServer, now: float) -> tuple[HostOutput, ...]:
        """Start queued attempts while slots are free; decline late ones.

        An attempt is late if hardly any answer would come before its deadline. Nothing
        starts until the first probe of a server that may have crashed.
        """
        outputs: list[HostOutput] = []
        if hosted.crashes.must_not_start:
            return ()
        while hosted.backlog and hosted.free_slots and hosted.is_ready:
            record = self._records[hosted.backlog.take().attempt_id]
            submit = record.submit
            reason = self._find_late_reason(hosted, submit, now)
            reason = reason or self._find_crash_reason(submit, hosted.running, now)
            if reason is not None:
                outputs.append(self._decline(record, reason, now))
                continue
            hosted.start(record, now)
            self._calls.begin_run(submit.route)
            run = record.to_run(now + hosted.usual_s(submit))
            self._runs.begin(submit.attempt_id, run)
            survival = hosted.survival(submit)
            hosted.liveness.record_sent(submit.attempt_id, survival, now)
            outputs.append(StartCall(submit.attempt_id, hosted.server))
        return tuple(outputs)

    def _find_late_reason(
        self, hosted: HostedServer, submit: Submit, start: float
    ) -> DeclineReason | None:
        """Return why an attempt should not start at ``start``; None if it may."""
        if not hosted.has_time(submit, start):
            return DeclineReason.DEADLINE
        is_late = start + hosted.usual_s(submit) >= self._finish_by
        # A straggler would be cut off, and what may not be repeated would be lost.
        is_risky = self._is_stopping and not submit.is_repeatable
        return DeclineReason.DRAINING if is_late or is_risky else None

    def _handle_call_ended(
        self, ended: CallEnded, now: float
    ) -> tuple[HostOutput, ...]:
        record = self._records.get(ended.attempt_id)
        if record is None or record.phase is not Phase.RUNNING:
            return ()
        record.end(now, has_arrived=ended.kind is not EndKind.UNREACHABLE)
        self._runs.end(ended.attempt_id)
        hosted = self._servers.get(record.submit.server_id)
        is_current = hosted is not None and ended.attempt_id in hosted.running
        if hosted is None or not is_current:
            # The server has left, or a new one has taken its place.
            is_broken = ended.kind is EndKind.BROKEN
            return (self._crashes.judge(record.submit, now),) if is_broken else ()
        hosted.finish(record, now)
        self._record_outcome(hosted, record, ended.kind, now)
        if ended.kind is EndKind.BROKEN:
            return self._handle_break(hosted, record, now)
        cleared = self._crashes.clear(record.submit, now) if ended.has_answered else ()
        return (*cleared, *self._start_queued(hosted, now))

    def _handle_break(
        self, hosted: HostedServer, record: AttemptRecord, now: float
    ) -> tuple[HostOutput, ...]:
        """Check whether the server has crashed; one that is stopping has not."""
        submit = record.submit
        if not hosted.is_ready:
            return (self._crashes.judge(submit, now),)
        step = hosted.crashes.note_broken(submit.attempt_id, record.started_at, now)
        match step:
            case ProbeWanted():
                return (ProbeServer(hosted.server, step.delay_s),)
            case Verdict.CRASHED:
                return (self._crashes.judge(submit, now),)
            case _:
                return ()

    def _handle_probe(self, probed: ServerProbed, now: float) -> tuple[HostOutput, ...]:
        hosted = self._servers.get(probed.server_id)
        if hosted is None or hosted.server.incarnation != probed.incarnation:
            return ()
        step = hosted.crashes.note_probe(now, is_listening=probed.is_listening)
        if isinstance(step, ProbeWanted):
            probe = ProbeServer(hosted.server, step.delay_s)
            return (probe, *self._start_queued(hosted, now))
        if step is Verdict.CRASHED:
            return self._handle_crash(hosted, now)
        return (*self._release_broken(hosted, now), *self._start_queued(hosted, now))

    def _handle_crash(self, hosted: HostedServer, now: float) -> tuple[HostOutput, ...]:
        """Blame what ran when the first call broke; decline what waits."""
        began_by = hosted.crashes.first_broken_at
        broken = hosted.crashes.release()
        records = [self._records[each] for each in (*broken, *hosted.running)]
        ran = [record for record in records if record.started_at <= began_by]
        blamed = self._crashes.blame(hosted.server.server_id, ran, now)
        hosted.unreachable_until = now + CRASHED_S
        judged = (
            self._crashes.judge(self._records[each].submit, now) for each in broken
        )
        declined = self._decline_queued(hosted, DeclineReason.NO_SERVER, now)
        return (*blamed, *judged, *declined)

    def _release_broken(
        self, hosted: HostedServer, now: float
    ) -> tuple[HostOutput, ...]:
        return tuple(
            self._crashes.judge(self._records[attempt_id].submit, now)
            for attempt_id in hosted.crashes.release()
        )

    def _record_outcome(
        self, hosted: HostedServer, record: AttemptRecord, kind: EndKind, now: float
    ) -> None:
        attempt_id = record.submit.attempt_id
        hosted.refusals.record(now, is_refused=kind is EndKind.REFUSED)
        if kind is EndKind.GOOD:
            route = record.submit.route
            seconds = (now - record.started_at) / hosted.slowdown
            hosted.durations.of(route).record(seconds)
            hosted.liveness.record_end(attempt_id, now, is_good=True)
        elif kind is EndKind.GIVEN_UP:
            hosted.liveness.record_end(attempt_id, now, is_good=None)
        elif kind is EndKind.REFUSED or self._local_failure_at >= record.started_at:
            # The server may have failed only because a call of its own did.
            hosted.liveness.discard(attempt_id)
        else:
            hosted.liveness.record_end(attempt_id, now, is_good=False)
        if kind is EndKind.UNREACHABLE:
            hosted.unreachable_until = now + UNREACHABLE_S

    def _withdraw(self, message: Withdraw, now: float) -> tuple[HostOutput, ...]:
        """Decline a queued attempt; cancel a running one if it is repeatable."""
        attempt_id = message.attempt_id
        record = self._records.get(attempt_id)
        if record is None:
            if len(self._withdrawn) < RECORDS_LIMIT:
                self._withdrawn[attempt_id] = now
            return ()
        if record.phase is Phase.QUEUED:
            hosted = self._servers.get(record.submit.server_id)
            if hosted is not None:
                hosted.backlog.remove(attempt_id)
            return (self._decline(record, DeclineReason.WITHDRAWN, now),)
        is_running = record.phase is Phase.RUNNING and not message.only_queued
        if is_running and record.submit.is_repeatable:
            return (CancelCall(attempt_id),)
        return ()

    def _decline(
        self, record: AttemptRecord, reason: DeclineReason, now: float
    ) -> Declined:
        record.decline()
        hosted = self._servers.get(record.submit.server_id)
        if hosted is not None:
            hosted.forgive(record, now)
        return self._crashes.decline(record.submit, reason, now)

    def _handle_listing(
        self, message: ServerListed | ServerUnlisted, now: float
    ) -> tuple[HostOutput, ...]:
        if isinstance(message, ServerListed):
            return self._update_server(message.server, now)
        return self._remove_server(message.server_id, now)

    def _update_server(self, server: Server, now: float) -> tuple[HostOutput, ...]:
        hosted = self._servers.get(server.server_id)
        if hosted is None or server.incarnation != hosted.server.incarnation:
            crashed: tuple[HostOutput, ...] = ()
            if hosted is not None and hosted.crashes.is_checking:
                # Its calls broke, and a new life of it is here.
                crashed = self._handle_crash(hosted, now)
            declined = self._remove_server(server.server_id, now)
            hosted = self._servers[server.server_id] = HostedServer(server, now)
            self._budgets.note_listed(server.service, now)
            return (*crashed, *declined)
        hosted.server = server
        if hosted.is_ready:
            return self._start_queued(hosted, now)
        return self._decline_queued(hosted, DeclineReason.DRAINING, now)

    def _remove_server(self, server_id: str, now: float) -> tuple[HostOutput, ...]:
        hosted = self._servers.pop(server_id, None)
        if hosted is None:
            return ()
        services = {each.server.service for each in self._servers.values()}
        if hosted.server.service not in services:
            self._budgets.note_unlisted(hosted.server.service, now)
        declined = self._decline_queued(hosted, DeclineReason.NO_SERVER, now)
        return (*self._release_broken(hosted, now), *declined)

    def _decline_queued(
        self, hosted: HostedServer, reason: DeclineReason, now: float
    ) -> tuple[HostOutput, ...]:
        removed = hosted.backlog.clear()
        records = [self._records[queued.attempt_id] for queued in removed]
        return tuple(self._decline(record, reason, now) for record in records)

    def _start_draining(
        self, message: StartDraining, now: float
    ) -> tuple[HostOutput, ...]:
        self._is_stopping = True
        self._finish_by = message.finish_by
        return self._decline_overdue(now)

    def _decline_overdue(self, now: float) -> tuple[HostOutput, ...]:
        outputs: list[HostOutput] = []
        for hosted in self._servers.values():
            for queued, reason in self._find_overdue(hosted, now):
                hosted.backlog.remove(queued.attempt_id)
                record = self._records[queued.attempt_id]
                outputs.append(self._decline(record, reason, now))
        return tuple(outputs)

    def _release_overdue(self, now: float) -> tuple[HostOutput, ...]:
        outputs: list[HostOutput] = []
        for hosted in self._servers.values():
            if hosted.crashes.is_overdue(now):
                outputs.extend(self._release_broken(hosted, now))
                outputs.extend(self._start_queued(hosted, now))
        return tuple(outputs)

    def _release_lost(self, now: float) -> tuple[HostOutput, ...]:
        """End the calls that must have ended without a report, and free their slots."""
        lost = [
            record
            for record in self._records.values()
            if record.phase is Phase.RUNNING
            and now - record.submit.deadline >= CALL_REPORT_S
        ]
        outputs: list[HostOutput] = []
        for record in lost:
            attempt_id, server_id = record.submit.attempt_id, record.submit.server_id
            record.end(now, has_arrived=True)
            self._runs.end(attempt_id)
            overdue_s = now - record.submit.deadline
            outputs.append(CallLost(attempt_id, server_id, overdue_s))
            hosted = self._servers.get(server_id)
            if hosted is not None and attempt_id in hosted.running:
                hosted.finish(record, now)
                hosted.liveness.discard(attempt_id)
                outputs.extend(self._start_queued(hosted, now))
        return tuple(outputs)

    def _expire(self, now: float) -> tuple[HostOutput, ...]:
        outputs = (
            *self._decline_overdue(now),
            *self._release_overdue(now),
            *self._release_lost(now),
        )
        self._withdrawn = {
            attempt_id: at
            for attempt_id, at in self._withdrawn.items()
            if now < at + WITHDRAWAL_RETENTION_S
        }
        self._records = {
            attempt_id: record
            for attempt_id, record in self._records.items()
            if record.phase is not Phase.ENDED
            or now < record.submit.deadline + RECORD_RETENTION_S
        }
        return outputs

    def _find_overdue(
        self, hosted: HostedServer, now: float
    ) -> list[tuple[QueuedAttempt, DeclineReason]]:
        """Return the queued attempts that should be sent elsewhere while time is left.

        Those are the attempts whose turn would come too late for their deadlines or
        for the end of this process, and, at a server that fails or beside a process
        that is stopping, those that may not be repeated.
        """
        is_failing = hosted.liveness.risk(now) >= UNSAFE_RISK_LIMIT
        overdue: list[tuple[QueuedAttempt, DeclineReason]] = []
        ahead_s = 0.0
        for queued in hosted.backlog:
            submit = self._records[queued.attempt_id].submit
            if is_failing and not submit.is_repeatable:
                overdue.append((queued, DeclineReason.FAILING))
            elif reason := self._find_late_reason(hosted, submit, now + ahead_s):
                overdue.append((queued, reason))
            else:
                ahead_s += hosted.share_of_slots(queued.expected_s)
        return overdue
