"""Limit the bytes per second of the snapshots that an instance sends."""

import math

SNAPSHOT_BYTES_PER_SECOND = 500_000.0
BURST_S = 2.0  # snapshots may be admitted so many seconds ahead of the limit
ROW_BYTES = 30  # bytes per row of a compressed snapshot, to estimate its size
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


class SnapshotGate:
    """Limit snapshot traffic, so that a restart of the whole fleet is bounded."""

    def __init__(self, bytes_per_second: float = SNAPSHOT_BYTES_PER_SECOND) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = -math.inf  # when the admitted snapshots are sent, at this rate

    def admit(self, rows: int, now: float) -> bool:
        """Return whether a snapshot of ``rows`` rows may be sent; count it if so."""
        if self._free_at - now > BURST_S:
            return False
        cost_s = rows * ROW_BYTES / self._bytes_per_second
        self._free_at = max(self._free_at, now) + cost_s
        return True

    def retry_after_s(self, now: float, chance: float) -> float:
        """Return how long to wait before a retry; ``chance``, 0 to 1, adds jitter."""
        wait_s = max(RETRY_MIN_S, self._free_at - now)
        return min(RETRY_MAX_S, wait_s * (0.5 + chance))
