"""Hold the requests that wait for a slot, bounded and in order."""

import abc
import bisect
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.times import SizeClass


class Waiting(NamedTuple):
    """Place a waiting request; entries compare by band, order and arrival."""

    band: int  # 1 for an organisation over its share, else 0
    rank: float
    number: int  # unique, so that comparison ends here
    size: SizeClass
    message: Acquire


class QueueOrder(abc.ABC):
    """Rank waiting requests; the lowest rank is served first."""

    @abc.abstractmethod
    def rank(self, message: Acquire, now: float) -> float:
        """Return the rank of a request that arrives at ``now`` (seconds)."""


class EarliestDeadlineFirst(QueueOrder):
    """Serve the request with the least time left first."""

    def rank(self, message: Acquire, now: float) -> float:
        """Return the deadline."""
        return message.deadline


class FirstInFirstOut(QueueOrder):
    """Serve requests as they came."""

    def rank(self, message: Acquire, now: float) -> float:
        """Return the time of arrival."""
        return now


class WaitingQueue:
    """Keep one ordered lane for each size class."""

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._lanes: dict[SizeClass, list[Waiting]] = {size: [] for size in SizeClass}
        self._by_ticket: dict[int, Waiting] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._by_ticket)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._by_ticket

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_ticket.values()))

    def place(
        self, message: Acquire, size: SizeClass, is_over_share: bool, now: float
    ) -> Waiting:
        """Return the entry that a request would have, without adding it."""
        self._count += 1
        rank = self._order.rank(message, now)
        return Waiting(int(is_over_share), rank, self._count, size, message)

    def add(self, entry: Waiting) -> None:
        """Add an entry."""
        bisect.insort(self._lanes[entry.size], entry)
        self._by_ticket[entry.message.ticket] = entry

    def remove(self, ticket: int) -> Waiting | None:
        """Take a ticket out, or return None when it does not wait."""
        entry = self._by_ticket.pop(ticket, None)
        if entry is None:
            return None
        lane = self._lanes[entry.size]
        del lane[bisect.bisect_left(lane, entry)]
        return entry

    def ahead(self, entry: Waiting) -> int:
        """Return how many waiting requests are served before this one."""
        return sum(bisect.bisect_left(lane, entry) for lane in self._lanes.values())

    def sizes(self) -> tuple[SizeClass, ...]:
        """Return the size classes of which any request waits."""
        return tuple(size for size, lane in self._lanes.items() if lane)

    def first(self, sizes: tuple[SizeClass, ...], depth: int) -> list[Waiting]:
        """Return up to ``depth`` entries a lane, the first to be served first."""
        heads = [entry for size in sizes for entry in self._lanes[size][:depth]]
        return sorted(heads)

    def last(self) -> Waiting | None:
        """Return the entry that is served last."""
        tails = [lane[-1] for lane in self._lanes.values() if lane]
        return max(tails, default=None)
