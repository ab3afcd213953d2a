"""Decide when an observer reports."""

from collections.abc import Mapping

from pimentobend_core._internal.health.limits import GOOD_SCORE
from pimentobend_core._internal.health.limits import REPORT_HOLDING_S
from pimentobend_core._internal.health.limits import REPORT_IDLE_S
from pimentobend_core._internal.health.limits import REPORT_URGENT_S

_BAND = 0.15  # a score that enters another band is news


class ReportSchedule:
    """Report news soon, held ejections often and good health seldom."""

    def __init__(self) -> None:
        self._reported_at: float | None = None
        self._reported: Mapping[str, float] = {}

    def is_due(self, scores: Mapping[str, float], is_holding: bool, now: float) -> bool:
        """Say whether to report ``scores`` at ``now`` (seconds), and note it."""
        if self._reported_at is not None:
            waited_s = now - self._reported_at
            if waited_s < self._interval_s(scores, is_holding):
                return False
        self._reported_at = now
        self._reported = dict(scores)
        return True

    def hurry(self) -> None:
        """Report at the next occasion."""
        self._reported_at = None

    def last_scores(self) -> Mapping[str, float]:
        """Return the scores last reported."""
        return dict(self._reported)

    def _interval_s(self, scores: Mapping[str, float], is_holding: bool) -> float:
        if self._has_news(scores):
            return REPORT_URGENT_S
        is_suspicious = any(score >= GOOD_SCORE for score in scores.values())
        if is_holding or is_suspicious:
            return REPORT_HOLDING_S
        return REPORT_IDLE_S

    def _has_news(self, scores: Mapping[str, float]) -> bool:
        return any(
            _band(score) > _band(self._reported.get(server_id, 0.0))
            for server_id, score in scores.items()
        )


def _band(score: float) -> int:
    return int(score / _BAND)
