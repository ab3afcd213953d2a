"""Hold what observers say of one service and judge whom they agree on."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.limits import BAD_SCORE
from pimentobend_core._internal.health.limits import GOOD_SCORE
from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.limits import SUSPECT_SCORE
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.messages import ServerEvidence

BAD_VOTE_S = 2.5  # an attempt speaks against its server this long
GOOD_VOTE_S = 1.2  # and for it
HEARD_S = 4.5  # beyond it an observer counts as cut off
KNOWN_S = 600.0  # an observer cut off is remembered this long
OBSERVER_QUORUM = 2


class _View(NamedTuple):
    report: EvidenceReported
    heard_at: float


class Candidate(NamedTuple):
    """Name a server that enough observers find bad."""

    server_id: str
    incarnation: int
    score: float  # sum over the observers
    observers: int
    reason: Reason


class Opinions:
    """Own the newest report of each observer and pool."""

    def __init__(self) -> None:
        self._views: dict[tuple[str, str], _View] = {}

    def take(self, report: EvidenceReported, now: float) -> None:
        """Keep a report unless it was overtaken by a newer one."""
        key = (report.observer, report.pool)
        view = self._views.get(key)
        if view is not None and _is_overtaken(report, view, now):
            return
        self._views[key] = _View(report, now)

    def forget(self, observer: str) -> None:
        """Forget a daemon that withdrew."""
        for key in [each for each in self._views if each[0] == observer]:
            del self._views[key]

    def clear(self) -> None:
        """Forget everything."""
        self._views.clear()

    def reports(self, now: float) -> tuple[EvidenceReported, ...]:
        """Return the reports that a grant may still answer."""
        return tuple(
            view.report
            for view in self._views.values()
            if now - view.heard_at < LEASE_S
        )

    def known_observers(self, now: float) -> int:
        """Count the observers of late, also those that are cut off."""
        for key in [
            key for key, view in self._views.items() if now - view.heard_at > KNOWN_S
        ]:
            del self._views[key]
        return len({observer for observer, _ in self._views})

    def suspects(
        self, seen_from: Mapping[str, tuple[int, int]], now: float
    ) -> frozenset[str]:
        """Return the servers on which it is worth to hear all observers."""
        quorum = min(OBSERVER_QUORUM, self.known_observers(now))
        return frozenset(
            server_id
            for server_id, votes in self._votes(seen_from, now).items()
            if _total(votes) >= quorum * SUSPECT_SCORE / 2
        )

    def candidates(
        self, seen_from: Mapping[str, tuple[int, int]], now: float
    ) -> tuple[Candidate, ...]:
        """Return the servers that the observers agree on, the worst first.

        ``seen_from`` holds, by server, the term and sequence of the last end
        of an ejection; reports from before it are no evidence.
        """
        known = self.known_observers(now)
        quorum = min(OBSERVER_QUORUM, known)
        missing = known - len(self._heard(now))
        found = [
            _judge(server_id, votes, quorum, missing)
            for server_id, votes in self._votes(seen_from, now).items()
        ]
        agreed = [candidate for candidate in found if candidate is not None]
        return tuple(sorted(agreed, key=lambda each: -each.score))

    def _heard(self, now: float) -> frozenset[str]:
        return frozenset(
            observer
            for (observer, _), view in self._views.items()
            if now - view.heard_at < HEARD_S
        )

    def _votes(
        self, seen_from: Mapping[str, tuple[int, int]], now: float
    ) -> Mapping[str, Mapping[str, ServerEvidence]]:
        votes: dict[str, dict[str, ServerEvidence]] = {}
        for (observer, _), view in self._views.items():
            age_s = now - view.heard_at
            number = (view.report.term, view.report.sequence)
            for evidence in view.report.servers:
                limit_s = GOOD_VOTE_S if evidence.score < BAD_SCORE else BAD_VOTE_S
                if age_s + evidence.age_s >= limit_s:
                    continue
                if number < seen_from.get(evidence.server_id, number):
                    continue
                given = votes.setdefault(evidence.server_id, {})
                if observer in given and given[observer].score >= evidence.score:
                    continue
                given[observer] = evidence
        return votes


def _is_overtaken(report: EvidenceReported, view: _View, now: float) -> bool:
    # After a restart an observer's clock may begin anew.
    is_alive = now - view.heard_at < HEARD_S
    return is_alive and report.asked_at <= view.report.asked_at


def _judge(
    server_id: str, votes: Mapping[str, ServerEvidence], quorum: int, missing: int
) -> Candidate | None:
    bad = [vote for vote in votes.values() if vote.score >= BAD_SCORE]
    good = [vote for vote in votes.values() if vote.score < GOOD_SCORE]
    total = _total(votes)
    if len(bad) < quorum or total < quorum * SUSPECT_SCORE:
        return None
    if len(bad) <= len(good) + missing:
        return None
    worst = max(bad, key=lambda vote: vote.score)
    return Candidate(server_id, worst.incarnation, total, len(bad), worst.reason)


def _total(votes: Mapping[str, ServerEvidence]) -> float:
    return sum(vote.score for vote in votes.values() if vote.score >= BAD_SCORE)
