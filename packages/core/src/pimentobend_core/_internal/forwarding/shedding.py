"""Estimate the share of attempts that a backend server refuses without running them.

A refused attempt is lost time, not lost work: it may be sent elsewhere. So refusals
are kept apart from failures, which raise the risk of a server.
"""

import math

GAIN = 0.2  # weight of a new outcome
RETENTION_S = 4.0  # time after which 1/e of the share is left without an attempt


class RefusalShare:
    """Moving average over the attempts of one server; decays while there are none."""

    def __init__(self, now: float) -> None:
        self._share = 0.0
        self._updated_at = now

    def record(self, now: float, *, is_refused: bool) -> None:
        """Record how an attempt ended at ``now``, in seconds."""
        share = self.share(now)
        self._share = share + GAIN * (float(is_refused) - share)
        self._updated_at = now

    def share(self, now: float) -> float:
        """Return the share at ``now``, from 0 to 1."""
        return self._share * math.exp((self._updated_at - now) / RETENTION_S)
