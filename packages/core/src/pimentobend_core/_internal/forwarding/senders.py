"""Tell requests of clients from the calls that servers make while they run a request.

Both reach a daemon in the same way, and clients may run on a server's machine, too. A
call ends by the deadline of the run that makes it, so what ends later than all runs of
the local servers is a client's. Any other request from this machine may be a call of
each of the running requests that end no sooner.
"""

from typing import NamedTuple

from pimentobend_core._internal.models.request import Sender

# A deadline is sent as the time that is left, so that a delay on the way moves it.
DEADLINE_SLACK_S = 0.25
# A call ends with its run, up to the rounding to milliseconds and to the time that the
# run's head and the call take to and from the server.
CALL_ENDS_EARLIER_S = 0.005
CALL_ENDS_LATER_S = 0.04
# How long runs of an earlier process may go on after this one has started.
EARLIER_RUNS_S = 10.0


class LocalRun(NamedTuple):
    """A request that a local server runs; times are in seconds of the clock."""

    repeat_share: float  # probability that it is a repeat, or a call of one
    usual_end: float
    deadline: float
    route: str = ""  # empty if calls are not matched with runs
    demand: float = 1.0  # requests that it stands for
    attempt_id: str = ""


class LocalRuns(NamedTuple):
    """What the local servers run, and the latest deadline of all they have run."""

    runs: tuple[LocalRun, ...]
    latest_deadline: float


def judge_sender(
    local: LocalRuns, deadline: float, now: float, *, is_local: bool = False
) -> Sender:
    """Return what is known of the sender of a request with a deadline."""
    if deadline > local.latest_deadline + DEADLINE_SLACK_S:
        return Sender(is_client=True)
    callers = [
        each
        for each in local.runs
        if deadline <= each.deadline + DEADLINE_SLACK_S
        # A first attempt that takes far too long hangs, and makes no calls.
        and (each.repeat_share or now < each.usual_end)
    ]
    shares = [each.repeat_share for each in callers]
    share = sum(shares) / len(shares) if shares else 0.0
    sender = Sender(repeat_share=min(1.0, share))
    # Clients' requests end with a run by chance; calls come from the server's machine.
    runs = [each for each in local.runs if each.route] if is_local else []
    ending = [
        each
        for each in runs
        if each.deadline - CALL_ENDS_EARLIER_S <= deadline
        and deadline <= each.deadline + CALL_ENDS_LATER_S
    ]
    if ending:
        return _add_callers(sender._replace(is_run_known=True), ending)
    # A call that has less time than its run may be of each run that has as much.
    longer = [each for each in runs if deadline <= each.deadline + CALL_ENDS_LATER_S]
    return _add_callers(sender, longer) if longer else sender


def _add_callers(sender: Sender, callers: list[LocalRun]) -> Sender:
    """Return the sender of a call that one of these runs made."""
    demand = sum(each.demand for each in callers) / len(callers)
    routes = tuple(each.route for each in callers)
    return sender._replace(
        is_call=True,
        demand=demand,
        calling_routes=routes,
        calling_runs=tuple(each.attempt_id for each in callers),
    )


class RunTracker:
    """Keeps what the local servers run and reports each change once.

    ``matches_calls`` is whether calls are matched with the routes of their runs.
    """

    def __init__(self, *, matches_calls: bool = False) -> None:
        self._matches_calls = matches_calls
        self._runs: dict[str, LocalRun] = {}
        self._latest_deadline = float("-inf")
        self._has_changed = False

    def begin(self, attempt_id: str, run: LocalRun) -> None:
        """Add a run."""
        self._runs[attempt_id] = run if self._matches_calls else run._replace(route="")
        self._latest_deadline = max(self._latest_deadline, run.deadline)
        self._has_changed = True

    def end(self, attempt_id: str) -> None:
        """Remove a run."""
        del self._runs[attempt_id]
        self._has_changed = True

    def take_change(self) -> tuple[LocalRuns, ...]:
        """Return the runs if they changed since the last call."""
        if not self._has_changed:
            return ()
        self._has_changed = False
        return (LocalRuns(tuple(self._runs.values()), self._latest_deadline),)
