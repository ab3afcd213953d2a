"""Plan when attempts that wait for a slot are recalled before their process ends."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.rejection import would_outlast
from pimentobend_core._internal.forwarding.selection import Candidate


class SubmittedAttempt(NamedTuple):
    """An attempt that was sent, and may still wait for a slot of its server."""

    number: int
    candidate: Candidate
    sent_at: float  # clock time in s


class Recalls:
    """The attempts of one request that are recalled unless they have started.

    An attempt is recalled at the last moment at which its server could start it and
    answer before the process ends, and at once if its turn will come later.
    """

    def __init__(self) -> None:
        self._finish_by = math.inf
        self._due: dict[int, float] = {}  # clock times by the number of the attempt

    @property
    def finish_by(self) -> float:
        """Return when this process ends, as a clock time in s."""
        return self._finish_by

    @property
    def times(self) -> Iterable[float]:
        """Return when recalls are due."""
        return self._due.values()

    def plan_all(self, finish_by: float, attempts: Iterable[SubmittedAttempt]) -> None:
        """Set when this process ends, and plan the recalls of attempts."""
        self._finish_by = finish_by
        for attempt in attempts:
            self.plan(attempt)

    def plan(self, attempt: SubmittedAttempt) -> None:
        """Plan the recall of an attempt if this process is stopping."""
        if math.isinf(self._finish_by):
            return
        bid: Bid = attempt.candidate.bid
        if would_outlast(bid, self._finish_by - attempt.sent_at):
            self._due[attempt.number] = attempt.sent_at
        else:
            self._due[attempt.number] = self._finish_by - bid.p90_s

    def forget(self, number: int) -> None:
        """Drop the recall of an attempt that ended."""
        self._due.pop(number, None)

    def take_due(self, now: float) -> tuple[int, ...]:
        """Return the numbers of the attempts to recall now, each of them once."""
        due = tuple(number for number, at in self._due.items() if now >= at)
        for number in due:
            del self._due[number]
        return due
