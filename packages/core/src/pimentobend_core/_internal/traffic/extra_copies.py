"""Limit the extra copies of a service's requests without coordination.

An extra copy is an attempt that is sent while another one of its request runs. Each
host takes copies up to a share of the clients' first attempts that it has seen, so
that the share holds for the sum over all hosts.
"""

import enum
import math
from collections import deque
from typing import NamedTuple


class CopyRefusal(enum.Enum):
    """Why a host does not take an extra copy."""

    NO_FREE_SLOT = "no-free-slot"
    SHARE_SPENT = "share-spent"


class CopyState(NamedTuple):
    """What a host counts against the limit on the extra copies of a service."""

    copies: int = 0  # within the window
    limit: float = math.inf  # infinite without an operators' limit

    @property
    def is_limited(self) -> bool:
        """Return whether the operators limit the copies."""
        return not math.isinf(self.limit)

    def find_refusal(self, free_slots: int) -> CopyRefusal | None:
        """Return why one more copy is not taken; None if it is."""
        if not self.is_limited:
            return None
        if not free_slots:
            return CopyRefusal.NO_FREE_SLOT
        is_spent = self.copies + 1 > self.limit
        return CopyRefusal.SHARE_SPENT if is_spent else None


class CopyCount:
    """Count the extra copies of a service that one host takes.

    A copy counts from its submission until a window after its end: it reaches its
    server at some time in between.
    """

    def __init__(self, share: float | None, window_s: float) -> None:
        self._share = share
        self._window_s = window_s
        self._pending = 0
        self._ended: deque[float] = deque()  # times in s, in order

    def reserve(self) -> None:
        """Record that a copy was submitted."""
        self._pending += 1

    def release(self) -> None:
        """Record that it was declined and will not reach a server."""
        self._pending -= 1

    def note_ended(self, now: float) -> None:
        """Record that it, which may have reached its server, ended at ``now``."""
        self._pending -= 1
        self._ended.append(now)

    def count(self, first: int, now: float) -> CopyState:
        """Return the counts at ``now`` (seconds) for a number of first attempts."""
        while self._ended and self._ended[0] < now - self._window_s:
            self._ended.popleft()
        limit = math.inf if self._share is None else self._share * first
        return CopyState(self._pending + len(self._ended), limit)
