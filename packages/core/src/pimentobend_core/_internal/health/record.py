"""One observer's evidence against one backend server."""

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
    """What an ended attempt shows about its server."""

    SERVED = "served"
    FAILED = "failed"
    NO_EVIDENCE = "nothing"


class Overdue(NamedTuple):
    """The numbers of overdue attempts in flight on one server."""

    weak: int  # on a reused connection, which may itself be dead
    strong: int  # on a new connection, or after ``SILENT_CONNECTION_S``


class ServerRecord:
    """Collect the evidence against one incarnation of a server."""

    WARM_UP_S = 20.0  # for so long after a start, latency is no evidence
    RECENT_EVIDENCE_S = 5.0  # evidence counts as recent for so long
    # How long a failure on a new connection makes failures on reused ones count.
    NEW_CONNECTION_FAILURE_S = 5.0
    WEAK_OVERDUE_SCORE = 0.14  # below BAD_SCORE: alone no vote for an ejection
    STRONG_OVERDUE_STEP = 0.25  # for each strong overdue attempt
    HANGING_REFUSAL_STEP = 0.15  # for each refusal while the server seems to hang
    # A server with overdue attempts seems to hang if it served none for so long.
    HANGING_AFTER_S = 1.0
    MAX_OVERDUE_SCORE = 1.5

    def __init__(self, server: Server, warm_up_until: float, now: float) -> None:
        self.server = server
        self._warm_up_until = warm_up_until
        self._detectors: tuple[Detector, ...] = (LatencyDetector(), FailureDetector())
        self._overdue_score = 0.0
        self._refusals_while_hanging = 0
        self._served_at = now
        self._sampled_at = -self.RECENT_EVIDENCE_S
        self._new_connection_failed_at: float | None = None
        self._decayed_at = now

    @property
    def score(self) -> float:
        """Return the absolute score, not yet relative to the peers' scores."""
        counted = max(detector.score for detector in self._detectors)
        return min(SCORE_LIMIT, counted + self._overdue_score)

    @property
    def reason(self) -> Reason:
        """Return the kind of evidence with the highest score."""
        strongest = max(self._detectors, key=lambda detector: detector.score)
        if self._overdue_score > strongest.score:
            return Reason.SILENT
        return strongest.reason

    def is_warming_up(self, now: float) -> bool:
        """Return whether the server started recently and may still be slow."""
        return now < self._warm_up_until

    def has_recent_evidence(self, now: float) -> bool:
        """Return whether attempts gave evidence within ``RECENT_EVIDENCE_S``."""
        return self.evidence_age_s(now) < self.RECENT_EVIDENCE_S

    def evidence_age_s(self, now: float) -> float:
        """Return the seconds since the last evidence, 0 while attempts are overdue."""
        return 0.0 if self._overdue_score > 0 else now - self._sampled_at

    def classify(self, ended: AttemptEnded, now: float) -> Verdict:
        """Classify an ended attempt as served, failed or no evidence."""
        match ended.kind:
            case AttemptKind.ANSWERED:
                failed = ended.status in _FAILURE_STATUSES
                return Verdict.FAILED if failed else Verdict.SERVED
            case AttemptKind.REFUSED | AttemptKind.CANCELLED:
                return Verdict.NO_EVIDENCE
            case AttemptKind.NO_ANSWER if ended.was_reused:
                return self._classify_reused(now)
        return Verdict.FAILED

    def add(self, ended: AttemptEnded, excess: float | None, now: float) -> None:
        """Add an ended attempt; ``excess`` is its log ratio to the peers' median."""
        verdict = self.classify(ended, now)
        if ended.kind is AttemptKind.REFUSED:
            self._count_refusal(now)
        if verdict is Verdict.NO_EVIDENCE:
            return
        failed = verdict is Verdict.FAILED
        if not ended.was_reused:
            self._new_connection_failed_at = now if failed else None
        self._sampled_at = now
        if not failed:
            self._served_at = now
            self._refusals_while_hanging = 0
        sample = Sample(failed, None if self.is_warming_up(now) else excess)
        for detector in self._detectors:
            detector.add(sample)

    def update_overdue(self, overdue: Overdue) -> None:
        """Set the score of the attempts that are overdue now."""
        score = self.STRONG_OVERDUE_STEP * overdue.strong
        if overdue.weak:
            score += self.WEAK_OVERDUE_SCORE
        if not score:
            self._refusals_while_hanging = 0
        score += self.HANGING_REFUSAL_STEP * self._refusals_while_hanging
        self._overdue_score = min(self.MAX_OVERDUE_SCORE, score)

    def decay(self, now: float) -> None:
        """Reduce the detectors' scores by the time since the last call."""
        for detector in self._detectors:
            detector.decay(now - self._decayed_at)
        self._decayed_at = now

    def reset(self) -> None:
        """Discard the evidence when the server is ejected or returns."""
        for detector in self._detectors:
            detector.reset()
        self._overdue_score = 0.0
        self._refusals_while_hanging = 0

    def _count_refusal(self, now: float) -> None:
        # A server that merely sheds load still completes the requests that it
        # accepted; one that completes none is hanging.
        if self._overdue_score > 0 and now - self._served_at > self.HANGING_AFTER_S:
            self._refusals_while_hanging += 1

    def _classify_reused(self, now: float) -> Verdict:
        # A silent reused connection may be dead while the server is healthy. It
        # counts only if a new connection failed recently as well.
        if self._new_connection_failed_at is None:
            return Verdict.NO_EVIDENCE
        if now - self._new_connection_failed_at > self.NEW_CONNECTION_FAILURE_S:
            return Verdict.NO_EVIDENCE
        return Verdict.FAILED
