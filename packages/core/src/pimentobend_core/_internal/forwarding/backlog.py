"""Queue of the attempts that wait for a slot of a backend server."""

import bisect
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.forwarding.fair_parts import DIRECT
from pimentobend_core._internal.forwarding.fair_parts import Group


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

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[QueuedAttempt]:
        return iter(self._queue)

    def add(self, queued: QueuedAttempt) -> None:
        """Insert an attempt in the order of its due time."""
        bisect.insort(self._queue, queued)

    def take(self) -> QueuedAttempt:
        """Remove and return the attempt that is due first."""
        return self._queue.pop(0)

    def remove(self, attempt_id: str) -> None:
        """Remove an attempt; do nothing if it is not queued."""
        self._queue = [
            attempt for attempt in self._queue if attempt.attempt_id != attempt_id
        ]

    def clear(self) -> list[QueuedAttempt]:
        """Remove and return all attempts."""
        queued, self._queue = self._queue, []
        return queued

    def work_before(self, due: float) -> float:
        """Return the total expected time of the attempts due by ``due``, in s."""
        return sum(attempt.expected_s for attempt in self._queue if attempt.due <= due)
