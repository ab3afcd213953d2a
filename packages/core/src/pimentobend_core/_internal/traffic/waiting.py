"""Order the requests that wait for a slot."""

import abc
import bisect
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.times import SizeClass


class QueuedRequest(NamedTuple):
    """A queued request; entries sort by priority band, rank and arrival."""

    priority_band: int  # 1 for an organisation over its share, else 0
    rank: float
    arrival_number: int  # unique, so the fields below are never compared
    size: SizeClass
    message: Acquire


class QueueOrder(abc.ABC):
    """Strategy for ranking queued requests; the lowest rank is served first."""

    @abc.abstractmethod
    def rank(self, message: Acquire, now: float) -> float:
        """Return the rank of a request that arrives at ``now`` (seconds)."""


class EarliestDeadlineFirst(QueueOrder):
    """Serve the request with the earliest deadline first."""

    def rank(self, message: Acquire, now: float) -> float:
        """Return the deadline."""
        return message.deadline


class FirstInFirstOut(QueueOrder):
    """Serve requests in order of arrival."""

    def rank(self, message: Acquire, now: float) -> float:
        """Return the time of arrival."""
        return now


class WaitingQueue:
    """Priority queue of requests, with a sorted list for each size class."""

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._entries_by_size: dict[SizeClass, list[QueuedRequest]] = {
            size: [] for size in SizeClass
        }
        self._by_ticket: dict[int, QueuedRequest] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._by_ticket)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._by_ticket

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._by_ticket.values()))

    def create_entry(
        self, message: Acquire, size: SizeClass, is_over_share: bool, now: float
    ) -> QueuedRequest:
        """Return the entry that a request would have, without adding it."""
        self._arrivals += 1
        rank = self._order.rank(message, now)
        return QueuedRequest(int(is_over_share), rank, self._arrivals, size, message)

    def add(self, entry: QueuedRequest) -> None:
        """Add an entry."""
        bisect.insort(self._entries_by_size[entry.size], entry)
        self._by_ticket[entry.message.ticket] = entry

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove and return a ticket's entry, or return None if it is not queued."""
        entry = self._by_ticket.pop(ticket, None)
        if entry is None:
            return None
        entries = self._entries_by_size[entry.size]
        del entries[bisect.bisect_left(entries, entry)]
        return entry

    def count_ahead(self, entry: QueuedRequest) -> int:
        """Return the number of queued requests that are served before this one."""
        return sum(
            bisect.bisect_left(entries, entry)
            for entries in self._entries_by_size.values()
        )

    def waiting_sizes(self) -> tuple[SizeClass, ...]:
        """Return the size classes that have queued requests."""
        return tuple(size for size, entries in self._entries_by_size.items() if entries)

    def heads(self, sizes: tuple[SizeClass, ...], depth: int) -> list[QueuedRequest]:
        """Return up to ``depth`` entries of each size class, in serving order."""
        entries = [
            entry for size in sizes for entry in self._entries_by_size[size][:depth]
        ]
        return sorted(entries)

    def last_entry(self) -> QueuedRequest | None:
        """Return the entry that is last in serving order, or None."""
        tails = [entries[-1] for entries in self._entries_by_size.values() if entries]
        return max(tails, default=None)
