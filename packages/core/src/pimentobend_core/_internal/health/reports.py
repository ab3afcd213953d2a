"""Decide when an observer reports its evidence to the floor owner."""

from collections.abc import Mapping

from pimentobend_core._internal.health.limits import GOOD_SCORE
from pimentobend_core._internal.health.limits import REPORT_HOLDING_S
from pimentobend_core._internal.health.limits import REPORT_IDLE_S
from pimentobend_core._internal.health.limits import REPORT_URGENT_S

_BAND_WIDTH = 0.15  # a score that rises into a higher band is reported soon


class ReportSchedule:
    """Choose the interval to the next report by its urgency.

    Rising scores are reported soonest. Ejected or suspicious servers are
    reported more often than a pool in which every server is healthy.
    """

    def __init__(self) -> None:
        self._reported_at: float | None = None
        self._reported: Mapping[str, float] = {}

    def is_due(
        self, scores: Mapping[str, float], has_ejections: bool, now: float
    ) -> bool:
        """Return whether to report ``scores`` at ``now`` (seconds); record it if so."""
        if self._reported_at is not None:
            waited_s = now - self._reported_at
            if waited_s < self._interval_s(scores, has_ejections):
                return False
        self._reported_at = now
        self._reported = dict(scores)
        return True

    def report_now(self) -> None:
        """Make the next call of ``is_due`` return true."""
        self._reported_at = None

    def last_scores(self) -> Mapping[str, float]:
        """Return the scores of the last report."""
        return dict(self._reported)

    def _interval_s(self, scores: Mapping[str, float], has_ejections: bool) -> float:
        if self._has_risen(scores):
            return REPORT_URGENT_S
        is_suspicious = any(score >= GOOD_SCORE for score in scores.values())
        if has_ejections or is_suspicious:
            return REPORT_HOLDING_S
        return REPORT_IDLE_S

    def _has_risen(self, scores: Mapping[str, float]) -> bool:
        return any(
            _band(score) > _band(self._reported.get(server_id, 0.0))
            for server_id, score in scores.items()
        )


def _band(score: float) -> int:
    return int(score / _BAND_WIDTH)
