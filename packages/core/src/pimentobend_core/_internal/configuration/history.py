"""Keep recent deltas for those that are behind by some versions."""

from collections import deque
from collections.abc import Iterable

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta

KEPT_DELTAS = 1024
KEPT_ROWS = 4096  # a longer chain costs more than the whole tables


class DeltaHistory:
    """Own a bounded chain of deltas, each following the one before it."""

    def __init__(self, deltas: Iterable[VersionedDelta] = ()) -> None:
        self._deltas: deque[VersionedDelta] = deque()
        self._rows = 0
        for delta in deltas:
            self.append(delta)

    def append(self, delta: VersionedDelta) -> None:
        """Add a delta; one that does not follow the last starts a new chain."""
        if self._deltas and self._deltas[-1].version != delta.delta.base:
            self.clear()
        self._deltas.append(delta)
        self._rows += count_rows(delta)
        while len(self._deltas) > KEPT_DELTAS or self._rows > KEPT_ROWS:
            self._rows -= count_rows(self._deltas.popleft())

    def clear(self) -> None:
        """Forget all deltas."""
        self._deltas.clear()
        self._rows = 0

    def since(self, version: Version) -> tuple[VersionedDelta, ...] | None:
        """Return the deltas that lead on from a version, or None."""
        chain: list[VersionedDelta] = []
        for delta in reversed(self._deltas):
            if delta.version == version:
                return tuple(reversed(chain))
            chain.append(delta)
        if chain and chain[-1].delta.base == version:
            return tuple(reversed(chain))
        return None


def count_rows(versioned: VersionedDelta) -> int:
    """Return how many rows a delta names."""
    delta = versioned.delta
    parts = (delta.routes, delta.removed_routes, delta.pools, delta.removed_pools)
    return sum(len(part) for part in parts)
