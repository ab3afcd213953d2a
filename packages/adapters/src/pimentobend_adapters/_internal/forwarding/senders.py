"""Hold what the local servers run, for the requests that this daemon receives."""

from pimentobend_core._internal.forwarding.senders import EARLIER_RUNS_S
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.forwarding.senders import judge_sender
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import SendersPort


class LocalSenders(SendersPort):
    """Judges senders by the runs that the host last reported."""

    def __init__(self, clock: ClockPort) -> None:
        self._clock = clock
        # What servers run for an earlier process is not known.
        self._earlier_runs_end = clock.now() + EARLIER_RUNS_S
        self._runs = LocalRuns((), self._earlier_runs_end)

    def update(self, runs: LocalRuns) -> None:
        """Replace the runs."""
        latest_deadline = max(self._earlier_runs_end, runs.latest_deadline)
        self._runs = runs._replace(latest_deadline=latest_deadline)

    def judge(self, deadline: float, *, is_local: bool = False) -> Sender:
        """Return what is known of the sender of a request that has come now."""
        return judge_sender(self._runs, deadline, self._clock.now(), is_local=is_local)
