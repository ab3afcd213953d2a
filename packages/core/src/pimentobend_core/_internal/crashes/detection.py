"""Decide whether a server crashed, from the calls whose connections ended early.

Connections also end early at a server that goes on: answers are cut off and
connections reset. A server whose calls broke is probed, and has crashed if nothing
listens at its address.
"""

import enum
from typing import NamedTuple

# A process that ends may close its connections a moment before its listener.
PROBE_DELAY_S = 0.01
SECOND_PROBE_DELAY_S = 0.05
MAX_PROBES = 2  # that find a listener, until the server is taken to go on
MAX_CHECK_S = 1.0  # then, the calls are released without a verdict


class Verdict(enum.Enum):
    """What became of a server whose calls broke."""

    OPEN = "open"  # it is being probed
    GOES_ON = "goes-on"
    CRASHED = "crashed"


class ProbeWanted(NamedTuple):
    """A probe that is due after ``delay_s`` seconds."""

    delay_s: float


class CrashDetector:
    """Checks one server at a time for each break, with a bounded number of probes."""

    def __init__(self) -> None:
        self._broken: list[str] = []
        self._first_broken_at = 0.0
        self._probes = 0
        self._crashed_at: float | None = None

    @property
    def is_checking(self) -> bool:
        """Return whether calls wait for the verdict."""
        return bool(self._broken)

    @property
    def must_not_start(self) -> bool:
        """Return whether the server may just have ended, and nothing should start."""
        return self.is_checking and not self._probes

    @property
    def first_broken_at(self) -> float:
        """Return when the first of the waiting calls broke, in seconds."""
        return self._first_broken_at

    def note_broken(
        self, attempt_id: str, started_at: float, now: float
    ) -> ProbeWanted | Verdict:
        """Record that a call broke; return the probe that is needed or the verdict.

        A call that started before the last crash broke with it, however late that
        is noticed.
        """
        if self._crashed_at is not None and started_at <= self._crashed_at:
            return Verdict.CRASHED
        self._broken.append(attempt_id)
        if len(self._broken) > 1:
            return Verdict.OPEN
        self._first_broken_at = now
        self._probes = 0
        return ProbeWanted(PROBE_DELAY_S)

    def note_probe(self, now: float, *, is_listening: bool) -> ProbeWanted | Verdict:
        """Record the result of a probe; return a further one or the verdict."""
        if not self._broken:
            return Verdict.GOES_ON
        if not is_listening:
            self._crashed_at = now
            return Verdict.CRASHED
        self._probes += 1
        if self._probes < MAX_PROBES:
            return ProbeWanted(SECOND_PROBE_DELAY_S)
        return Verdict.GOES_ON

    def is_overdue(self, now: float) -> bool:
        """Return whether the calls have waited too long for a probe's result."""
        return self.is_checking and now >= self._first_broken_at + MAX_CHECK_S

    def release(self) -> list[str]:
        """Return the calls that wait, which then wait no longer."""
        broken, self._broken = self._broken, []
        return broken
