"""Admit a bounded number of bytes of snapshots at a time."""

import math

SNAPSHOT_BYTES_A_SECOND = 500_000.0
BURST_S = 2.0
ROW_BYTES = 30  # of a compressed snapshot, to weigh it before it is encoded
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


class SnapshotGate:
    """Spread catch-up over time, so that a restart of all stays bounded."""

    def __init__(self, bytes_a_second: float = SNAPSHOT_BYTES_A_SECOND) -> None:
        self._bytes_a_second = bytes_a_second
        self._free_at = -math.inf

    def admit(self, rows: int, now: float) -> bool:
        """Say whether a snapshot of so many rows may be sent now."""
        if self._free_at - now > BURST_S:
            return False
        cost_s = rows * ROW_BYTES / self._bytes_a_second
        self._free_at = max(self._free_at, now) + cost_s
        return True

    def retry_after_s(self, now: float, chance: float) -> float:
        """Return when to ask again; ``chance`` from 0 to 1 spreads the askers."""
        wait_s = max(RETRY_MIN_S, self._free_at - now)
        return min(RETRY_MAX_S, wait_s * (0.5 + chance))
