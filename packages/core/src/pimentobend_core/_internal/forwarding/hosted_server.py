"""State of a backend server at its host, and of the attempts submitted for it."""

import enum
from collections.abc import Mapping

from pimentobend_core._internal.crashes.detection import CrashDetector
from pimentobend_core._internal.forwarding.backlog import Backlog
from pimentobend_core._internal.forwarding.backlog import QueuedAttempt
from pimentobend_core._internal.forwarding.call_room import CallRoom
from pimentobend_core._internal.forwarding.durations import DurationEstimate
from pimentobend_core._internal.forwarding.durations import RouteDurations
from pimentobend_core._internal.forwarding.fair_parts import DIRECT
from pimentobend_core._internal.forwarding.fair_parts import Group
from pimentobend_core._internal.forwarding.fair_parts import GroupDebts
from pimentobend_core._internal.forwarding.fair_parts import make_group
from pimentobend_core._internal.forwarding.liveness import Liveness
from pimentobend_core._internal.forwarding.liveness import Survival
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.senders import LocalRun
from pimentobend_core._internal.forwarding.shedding import RefusalShare
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import ServiceBudget

# An attempt is declined if less than this share of its route's median answer time is
# left before the deadline, as hardly any answer takes less.
MIN_TIME_SHARE = 0.5
COLD_MULTIPLE = 2.0  # how many times as long a server takes while it warms up


def group_of(submit: Submit) -> Group:
    """Return the group that an attempt counts for in the division of the slots."""
    return make_group(submit.organisation, is_call=submit.sender.is_call)


class Phase(enum.Enum):
    """Whether an attempt waits, runs or has ended."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class AttemptRecord:
    """State of an attempt, kept while a copy of its submission may still arrive."""

    __slots__ = (
        "budget",
        "owed_s",
        "phase",
        "started_at",
        "submit",
        "submitted_at",
        "repeat_share",
    )

    def __init__(self, submit: Submit, now: float) -> None:
        self.submit = submit
        self.submitted_at = now
        self.phase = Phase.QUEUED
        self.started_at = 0.0
        # Probability that it is a repeat, or a call of a repeated run.
        self.repeat_share = 1.0 if submit.is_repeat else submit.sender.repeat_share
        self.owed_s = 0.0  # time of a slot that it adds to its group's debt
        # Counts the attempt; None if it was declined at once.
        self.budget: ServiceBudget | None = None

    def to_run(self, usual_end: float) -> LocalRun:
        """Return the run of the attempt, which usually ends by a clock time in s."""
        submit = self.submit
        return LocalRun(
            self.repeat_share,
            usual_end,
            submit.deadline,
            submit.route,
            submit.demand,
            submit.attempt_id,
        )

    def admit(self, budget: ServiceBudget) -> None:
        """Count the attempt with a budget until its end."""
        self.budget = budget
        budget.reserve(self.repeat_share)
        if self.submit.is_copy:
            budget.copies.reserve()

    def decline(self) -> None:
        """End an attempt that does not reach its server."""
        self.phase = Phase.ENDED
        if self.budget is not None:
            self.budget.release(self.repeat_share)
            if self.submit.is_copy:
                self.budget.copies.release()

    def end(self, now: float, *, has_arrived: bool) -> None:
        """End an attempt that was sent to its server."""
        self.phase = Phase.ENDED
        if self.budget is None:
            return
        self.budget.note_ended(self.repeat_share, now)
        if self.submit.is_copy:
            self.budget.copies.note_ended(now)
        is_first = self.submit.sender.is_client and not self.submit.is_repeat
        if is_first and has_arrived:
            self.budget.note_first(self.submitted_at)


class HostedServer:
    """A server with its queue, its running attempts and its statistics."""

    def __init__(self, server: Server, now: float) -> None:
        self.server = server
        self.running: dict[str, Group] = {}  # by attempt id
        self.backlog = Backlog()
        self.liveness = Liveness(now)
        self.refusals = RefusalShare(now)
        self.durations = RouteDurations()
        self.unreachable_until = 0.0
        self.crashes = CrashDetector()
        self.call_room = CallRoom()
        self.debts = GroupDebts()

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

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "service": self.server.service,
            "state": self.server.state.value,
            "slots": self.server.slots,
            "running": sorted(self.running),
            "queued": [queued.attempt_id for queued in self.backlog],
            "waiting": self.backlog.counts.dump(),
        }

    def share_of_slots(self, seconds: float) -> float:
        """Return how long the server's slots take for work that takes ``seconds``."""
        return self.slowdown * seconds / max(1, self.server.slots)

    def usual_s(self, submit: Submit) -> float:
        """Return the time within which nearly all answers of the route come."""
        durations = self.durations.of(submit.route, submit.target_s)
        return self.slowdown * durations.p90_s

    def has_time(self, submit: Submit, start: float) -> bool:
        """Return whether an answer is likely to come before the deadline."""
        durations = self.durations.of(submit.route, submit.target_s)
        return start + MIN_TIME_SHARE * durations.median_s < submit.deadline

    def enqueue(self, record: AttemptRecord, sequence: int, now: float) -> None:
        """Put an attempt that arrives at ``now`` into the queue."""
        submit = record.submit
        group = group_of(submit)
        durations = self.durations.of(submit.route, submit.target_s)
        durations.set_target(submit.target_s, submit.priority)
        due = min(now + self._slack_s(group, durations), submit.deadline)
        due += self.debts.delay_s(group, self.server.slots, now)
        record.owed_s = self.slowdown * durations.mean_s
        self.debts.enter(group, record.owed_s, self.server.slots, now)
        if not group.is_call:
            self.debts.weigh(group, submit.priority)
        if group.is_call and not submit.is_repeat:
            # A repeat of a call that was refused asks for no more room than the call.
            self.call_room.add_call(record.owed_s * submit.demand)
        attempt_id, mean_s = submit.attempt_id, durations.mean_s
        self.backlog.add(QueuedAttempt(due, sequence, attempt_id, mean_s, group))

    def forgive(self, record: AttemptRecord, now: float) -> None:
        """Take back what an attempt owes that will not run; nothing if not queued."""
        if record.owed_s:
            self._leave(record, now, has_run=False)

    def start(self, record: AttemptRecord, now: float) -> None:
        """Give an attempt a slot."""
        record.phase = Phase.RUNNING
        record.started_at = now
        self.running[record.submit.attempt_id] = group_of(record.submit)

    def finish(self, record: AttemptRecord, now: float) -> None:
        """Free the slot of an attempt; debts end with the queue."""
        del self.running[record.submit.attempt_id]
        self._leave(record, now, has_run=True)
        if not self.backlog:
            self.debts.settle()

    def _leave(self, record: AttemptRecord, now: float, *, has_run: bool) -> None:
        group, slots = group_of(record.submit), self.server.slots
        self.debts.leave(group, record.owed_s, slots, now, has_run=has_run)
        record.owed_s = 0.0

    def _slack_s(self, group: Group, durations: DurationEstimate) -> float:
        """Return how long an attempt may wait; the run of a call holds a slot."""
        return 0.0 if group.is_call else durations.slack_s

    def wait_s(self, route: str, now: float, group: Group = DIRECT) -> float:
        """Return the expected time until an attempt of a route would start, in s."""
        if self.free_slots:
            return 0.0
        durations = self.durations.of(route)
        delay_s = self.debts.delay_s(group, self.server.slots, now)
        due = now + self._slack_s(group, durations) + delay_s
        ahead_s = self.backlog.work_before(due)
        # Who exceeds its part waits for it, also where others come later and go first.
        return max(delay_s, self.share_of_slots(ahead_s + durations.mean_s))
