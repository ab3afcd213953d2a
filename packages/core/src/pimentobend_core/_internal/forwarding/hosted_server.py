"""State of a backend server at its host, and of the attempts submitted for it."""

import enum

from pimentobend_core._internal.crashes.detection import CrashDetector
from pimentobend_core._internal.forwarding.backlog import Backlog
from pimentobend_core._internal.forwarding.durations import RouteDurations
from pimentobend_core._internal.forwarding.liveness import Liveness
from pimentobend_core._internal.forwarding.liveness import Survival
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.shedding import RefusalShare
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import ServiceBudget

COLD_MULTIPLE = 2.0  # how many times as long a server takes while it warms up


class Phase(enum.Enum):
    """Whether an attempt waits, runs or has ended."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class AttemptRecord:
    """State of an attempt, kept while a copy of its submission may still arrive."""

    __slots__ = (
        "budget",
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
        # Counts the attempt; None if it was declined at once.
        self.budget: ServiceBudget | None = None

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
        self.running: set[str] = set()
        self.backlog = Backlog()
        self.liveness = Liveness(now)
        self.refusals = RefusalShare(now)
        self.durations = RouteDurations()
        self.unreachable_until = 0.0
        self.crashes = CrashDetector()

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

    def share_of_slots(self, seconds: float) -> float:
        """Return how long the server's slots take for work that takes ``seconds``."""
        return self.slowdown * seconds / max(1, self.server.slots)

    def wait_s(self, route: str, now: float) -> float:
        """Return the expected time until an attempt of a route would start, in s."""
        if self.free_slots:
            return 0.0
        durations = self.durations.of(route)
        ahead_s = self.backlog.work_before(now + durations.slack_s)
        return self.share_of_slots(ahead_s + durations.mean_s)
