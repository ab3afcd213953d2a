"""Keep one observer's evidence on one backend server."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.health.detectors import Detector
from pimentobend_core._internal.health.detectors import FailureDetector
from pimentobend_core._internal.health.detectors import LatencyDetector
from pimentobend_core._internal.health.detectors import Sample
from pimentobend_core._internal.health.limits import SCORE_LIMIT
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import Server

_FAILURE_STATUSES = frozenset({500, 502, 503, 504})


class Verdict(enum.Enum):
    """Name what an ended attempt says about its server."""

    SERVED = "served"
    FAILED = "failed"
    NOTHING = "nothing"


class Overdue(NamedTuple):
    """Count the attempts in flight that should have been answered."""

    weak: int  # it may be the connection that is silent
    strong: int


class ServerRecord:
    """Own the evidence on one start of a server."""

    COLD_S = 20.0
    RECENT_S = 5.0
    FRESH_FAILURE_S = 5.0
    WEAK_SCORE = 0.14  # below a vote
    STRONG_STEP = 0.25
    STUCK_STEP = 0.15  # a refusal while attempts hang and none is served
    STUCK_S = 1.0
    SILENCE_LIMIT = 1.5

    def __init__(self, server: Server, cold_until: float, now: float) -> None:
        self.server = server
        self._cold_until = cold_until
        self._detectors: tuple[Detector, ...] = (LatencyDetector(), FailureDetector())
        self._silence = 0.0
        self._stuck = 0
        self._served_at = now
        self._sampled_at = -self.RECENT_S
        self._fresh_failed_at: float | None = None
        self._faded_at = now

    @property
    def score(self) -> float:
        """Return the evidence, not yet compared with the peers'."""
        counted = max(detector.score for detector in self._detectors)
        return min(SCORE_LIMIT, counted + self._silence)

    @property
    def reason(self) -> Reason:
        """Return what most of the evidence consists of."""
        strongest = max(self._detectors, key=lambda detector: detector.score)
        if self._silence > strongest.score:
            return Reason.SILENT
        return strongest.reason

    def is_cold(self, now: float) -> bool:
        """Say whether the server started lately; it may be slow."""
        return now < self._cold_until

    def is_recent(self, now: float) -> bool:
        """Say whether attempts showed anything of late."""
        return self.age_s(now) < self.RECENT_S

    def age_s(self, now: float) -> float:
        """Return the seconds since attempts last showed anything."""
        return 0.0 if self._silence > 0 else now - self._sampled_at

    def judge(self, ended: AttemptEnded, now: float) -> Verdict:
        """Say what an ended attempt shows."""
        match ended.kind:
            case AttemptKind.ANSWERED:
                failed = ended.status in _FAILURE_STATUSES
                return Verdict.FAILED if failed else Verdict.SERVED
            case AttemptKind.REFUSED | AttemptKind.CANCELLED:
                return Verdict.NOTHING
            case AttemptKind.NO_ANSWER if ended.was_reused:
                return self._judge_reused(now)
        return Verdict.FAILED

    def add(self, ended: AttemptEnded, excess: float | None, now: float) -> None:
        """Take an ended attempt and its log ratio to the peers' latency."""
        verdict = self.judge(ended, now)
        if ended.kind is AttemptKind.REFUSED:
            self._note_refusal(now)
        if verdict is Verdict.NOTHING:
            return
        failed = verdict is Verdict.FAILED
        if not ended.was_reused:
            self._fresh_failed_at = now if failed else None
        self._sampled_at = now
        if not failed:
            self._served_at = now
            self._stuck = 0
        sample = Sample(failed, None if self.is_cold(now) else excess)
        for detector in self._detectors:
            detector.add(sample)

    def note_silence(self, overdue: Overdue) -> None:
        """Take the attempts in flight that should have been answered."""
        silence = self.STRONG_STEP * overdue.strong
        if overdue.weak:
            silence += self.WEAK_SCORE
        if not silence:
            self._stuck = 0
        silence += self.STUCK_STEP * self._stuck
        self._silence = min(self.SILENCE_LIMIT, silence)

    def fade(self, now: float) -> None:
        """Let evidence grow old."""
        for detector in self._detectors:
            detector.fade(now - self._faded_at)
        self._faded_at = now

    def reset(self) -> None:
        """Forget the evidence, as a returning server starts anew."""
        for detector in self._detectors:
            detector.reset()
        self._silence = 0.0
        self._stuck = 0

    def _note_refusal(self, now: float) -> None:
        # A server that sheds load goes on serving what it took before.
        if self._silence > 0 and now - self._served_at > self.STUCK_S:
            self._stuck += 1

    def _judge_reused(self, now: float) -> Verdict:
        if self._fresh_failed_at is None:
            return Verdict.NOTHING
        if now - self._fresh_failed_at > self.FRESH_FAILURE_S:
            return Verdict.NOTHING
        return Verdict.FAILED
