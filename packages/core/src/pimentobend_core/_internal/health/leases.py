"""Ejections that the floor owner leased to one observer."""

from collections import deque

from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.messages import Ejection
from pimentobend_core._internal.health.messages import EjectionsGranted


class LeasedEjections:
    """Apply grants from the floor owner until their leases expire.

    A lease starts at the time of the report that the grant answers, so a
    delayed grant only shortens it. A grant that answers no report of this
    process is rejected, since a restart resets the clock.
    """

    def __init__(self) -> None:
        self._report_times: deque[float] = deque()
        self._grant: EjectionsGranted | None = None
        self._expires_at = 0.0

    @property
    def term(self) -> int:
        """Return the term of the newest grant."""
        return self._grant.term if self._grant else 0

    @property
    def sequence(self) -> int:
        """Return the sequence of the newest grant within its term."""
        return self._grant.sequence if self._grant else 0

    @property
    def expires_at(self) -> float:
        """Return the end of the lease in seconds of the observer's clock."""
        return self._expires_at

    def record_report(self, now: float) -> None:
        """Record the time of a report that a grant may answer."""
        self._report_times.append(now)
        while now - self._report_times[0] > LEASE_S:
            self._report_times.popleft()

    def accept(self, grant: EjectionsGranted, now: float) -> bool:
        """Apply a grant unless it is older than the one in force."""
        if grant.asked_at not in self._report_times:
            return False
        expires_at = grant.asked_at + min(grant.lease_s, LEASE_S)
        if now >= expires_at:
            return False
        version = (grant.term, grant.sequence)
        if version < (self.term, self.sequence):
            return False
        if version == (self.term, self.sequence):
            expires_at = max(expires_at, self._expires_at)
        self._grant = grant
        self._expires_at = expires_at
        return True

    def ejections(self, now: float) -> tuple[Ejection, ...]:
        """Return the ejections in force at ``now`` (seconds)."""
        if self._grant is None or now >= self._expires_at:
            return ()
        return self._grant.ejections
