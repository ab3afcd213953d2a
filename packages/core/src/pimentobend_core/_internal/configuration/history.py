"""Keep recent deltas for followers that are a few versions behind."""

from collections import deque
from collections.abc import Iterable

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta

MAX_DELTAS = 1024
MAX_ROWS = 4096  # sending more changed rows would cost more than the whole tables


class DeltaHistory:
    """The latest deltas; each one has the version of the previous one as its base."""

    def __init__(self, deltas: Iterable[VersionedDelta] = ()) -> None:
        self._deltas: deque[VersionedDelta] = deque()
        self._rows = 0
        for delta in deltas:
            self.append(delta)

    def append(self, delta: VersionedDelta) -> None:
        """Append a delta; one with another base discards the earlier deltas first."""
        if self._deltas and self._deltas[-1].version != delta.delta.base:
            self.clear()
        self._deltas.append(delta)
        self._rows += count_rows(delta)
        # The newest delta is kept whatever its size, as whole tables may be too large
        # for a frame, and a delta is not.
        while len(self._deltas) > 1 and self._is_too_long():
            self._rows -= count_rows(self._deltas.popleft())

    def _is_too_long(self) -> bool:
        return len(self._deltas) > MAX_DELTAS or self._rows > MAX_ROWS

    def clear(self) -> None:
        """Discard all deltas."""
        self._deltas.clear()
        self._rows = 0

    def since(self, version: Version) -> tuple[VersionedDelta, ...] | None:
        """Return the deltas after ``version``, or None if they are not all kept."""
        chain: list[VersionedDelta] = []
        for delta in reversed(self._deltas):
            if delta.version == version:
                return tuple(reversed(chain))
            chain.append(delta)
        if chain and chain[-1].delta.base == version:
            return tuple(reversed(chain))
        return None


def count_rows(versioned: VersionedDelta) -> int:
    """Return how many rows a delta adds, changes or removes."""
    delta = versioned.delta
    parts = (
        delta.routes,
        delta.removed_routes,
        delta.pools,
        delta.removed_pools,
        delta.organisations,
        delta.removed_organisations,
    )
    return sum(len(part) for part in parts)
