"""Queue of the attempts that wait for a slot of a backend server."""

import bisect
import itertools
import operator
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.forwarding.fair_parts import DIRECT
from pimentobend_core._internal.forwarding.fair_parts import Group
from pimentobend_core._internal.forwarding.fair_parts import GroupCounts

_get_due = operator.attrgetter("due")


class QueuedAttempt(NamedTuple):
    """A waiting attempt.

    Attempts sort by ``due`` and then by ``sequence``, so the one that is due
    first starts first.
    """

    due: float  # clock time in s; if it starts later, its answer is probably late
    sequence: int  # order of arrival
    attempt_id: str
    expected_s: float  # mean time that the server takes for it
    group: Group = DIRECT  # whose request it is


class Backlog:
    """The attempts that wait for one server, the one due first at the head."""

    def __init__(self) -> None:
        self._queue: list[QueuedAttempt] = []
        self.counts = GroupCounts()  # of the waiting attempts
        # Total work of the first attempts, by their number; empty after a change.
        self._sums: list[float] = []

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[QueuedAttempt]:
        return iter(self._queue)

    def add(self, queued: QueuedAttempt) -> None:
        """Insert an attempt in the order of its due time."""
        bisect.insort(self._queue, queued)
        self.counts.add(queued.group)
        self._sums = []

    def take(self) -> QueuedAttempt:
        """Remove and return the attempt that is due first."""
        taken = self._queue.pop(0)
        self.counts.add(taken.group, -1)
        self._sums = []
        return taken

    def remove(self, attempt_id: str) -> None:
        """Remove an attempt; do nothing if it is not queued."""
        for index, queued in enumerate(self._queue):
            if queued.attempt_id == attempt_id:
                del self._queue[index]
                self.counts.add(queued.group, -1)
                self._sums = []
                return

    def clear(self) -> list[QueuedAttempt]:
        """Remove and return all attempts."""
        queued, self._queue = self._queue, []
        self.counts.clear()
        self._sums = []
        return queued

    def work_before(self, due: float) -> float:
        """Return the total expected time of the attempts due by ``due``, in s."""
        if not self._sums:
            times = (queued.expected_s for queued in self._queue)
            self._sums = list(itertools.accumulate(times, initial=0.0))
        return self._sums[bisect.bisect_right(self._queue, due, key=_get_due)]
