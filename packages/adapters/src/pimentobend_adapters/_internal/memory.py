"""Own the memory that bodies take; tasks reserve it before they read."""

from collections.abc import Callable

import eventlet

from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.logs import get_log
from pimentobend_core._internal.memory.budget import MemoryBudget
from pimentobend_core._internal.memory.budget import MemoryTerms
from pimentobend_core._internal.memory.budget import Use
from pimentobend_core._internal.memory.budget import held_bytes
from pimentobend_core._internal.memory.budget import sent_bytes
from pimentobend_core._internal.memory.budget import use_of
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason

# A caller that takes no byte for this long is cut off: a server cuts off an answer
# that is not read for some seconds.
STALL_S = 5.0
RETRY_AFTER_S = 1
# The kernel's own sizes reach several MB for a connection whose other end is slow.
# A round trip of 0.2 s at 4.55 Mbit/s needs 114 KB.
SOCKET_BYTES = 128 * 1024
REPORT_S = 1.0  # between log lines about refusals

NO_MEMORY = Refusal(
    503,
    Ran.NOT_RUN,
    RefusalReason.NO_MEMORY,
    "no memory is free for the request",
    RETRY_AFTER_S,
)


class Reservation:
    """Reserved bytes; they are given back at the latest when nothing refers to it."""

    __slots__ = ("_budget", "_size_bytes")

    def __init__(self, budget: MemoryBudget, size_bytes: int) -> None:
        self._budget = budget
        self._size_bytes = size_bytes
        budget.change(size_bytes)

    def __del__(self) -> None:
        self.release()

    def change(self, size_bytes: int) -> None:
        """Add bytes, also beyond the limit, or give back up to as many as are held."""
        size_bytes = max(size_bytes, -self._size_bytes)
        self._size_bytes += size_bytes
        self._budget.change(size_bytes)

    def release(self) -> None:
        """Give all bytes back; further calls do nothing."""
        self.change(-self._size_bytes)


class ServerMemory:
    """Bytes of the unfinished requests that each backend server was sent."""

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._budgets: dict[str, MemoryBudget] = {}

    def reserve(self, server_id: str, length: int | None) -> Reservation | None:
        """Return a reservation for a body, or None if the server has no room for it."""
        budget = self._budgets.get(server_id)
        if budget is None:
            budget = self._budgets[server_id] = MemoryBudget(self._limit_bytes)
        size_bytes = sent_bytes(length)
        return Reservation(budget, size_bytes) if budget.has_room(size_bytes) else None

    def forget(self, server_id: str) -> None:
        """Forget a server that left; its reservations end by themselves."""
        self._budgets.pop(server_id, None)


class MemoryOwner:
    """The one budget of a process for the bodies in both directions.

    If it is spent, answers that are only kept for repeated requests are dropped first.
    """

    def __init__(
        self, terms: MemoryTerms | None = None, counters: CounterTable | None = None
    ) -> None:
        self.terms = terms or MemoryTerms()
        self._budget = MemoryBudget(self.terms.reserved_bytes)
        self._counters = counters or CounterTable()
        self._drop_kept: Callable[[], bool] = lambda: False
        self._refused = 0  # since the last report

    @property
    def reserved_bytes(self) -> int:
        """Return the sum of all reservations."""
        return self._budget.reserved_bytes

    @property
    def is_limited(self) -> bool:
        """Return whether the memory of bodies is bounded."""
        return self.terms.is_limited

    @property
    def socket_bytes(self) -> int:
        """Return the size of a connection's buffers in the kernel; 0 for its own."""
        return SOCKET_BYTES if self.is_limited else 0

    def start(self) -> None:
        """Report refusals from now on, once a second at most."""
        if self.is_limited:
            eventlet.spawn_n(self._report)

    def drop_with(self, drop_kept: Callable[[], bool]) -> None:
        """Set what drops the oldest kept answer, and returns False without any."""
        self._drop_kept = drop_kept

    def reserve_request(self, length: int | None) -> Reservation | None:
        """Return a reservation for a request with a body of a length (None: unknown).

        It is None if there is no room; the request must then not be read.
        """
        size_bytes, use = held_bytes(length), use_of(length)
        if not self.has_room(size_bytes, use):
            self._refused += 1
            self._counters.count("memory_refused", use.name.lower())
            return None
        return Reservation(self._budget, size_bytes)

    def open(self) -> Reservation:
        """Return a reservation of no bytes."""
        return Reservation(self._budget, 0)

    def has_room(self, size_bytes: int, use: Use) -> bool:
        """Return whether bytes are free, if need be those of kept answers."""
        while not self._budget.has_room(size_bytes, use):
            if not self._drop_kept():
                return False
        return True

    def note_server_full(self) -> None:
        """Count an attempt that its server has no room for."""
        self._counters.count("memory_refused", "server")

    def note_stalled(self) -> None:
        """Count a caller that was cut off, as it took nothing of its answer."""
        self._counters.count("callers_stalled")

    def _report(self) -> None:
        while True:
            eventlet.sleep(REPORT_S)
            self._counters.set("memory_reserved_bytes", self.reserved_bytes)
            if self._refused:
                get_log().warning(
                    "memory-refused",
                    requests=self._refused,
                    reserved_bytes=self.reserved_bytes,
                    limit_bytes=int(self.terms.reserved_bytes),
                )
                self._refused = 0
