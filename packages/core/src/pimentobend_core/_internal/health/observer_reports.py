"""Reports of all observers of a service, and the servers they agree are bad."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.limits import BAD_SCORE
from pimentobend_core._internal.health.limits import GOOD_SCORE
from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.limits import SUSPECT_SCORE
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.messages import ServerEvidence

# How long a vote counts after the last attempt that it is based on.
BAD_VOTE_TTL_S = 2.5
GOOD_VOTE_TTL_S = 1.2
OBSERVER_TIMEOUT_S = 4.5  # an observer silent for so long counts as cut off
OBSERVER_RETENTION_S = 600.0  # how long an observer without reports is remembered
OBSERVER_QUORUM = 2  # observers that must agree; fewer only if fewer are known


class _ReceivedReport(NamedTuple):
    report: EvidenceReported
    received_at: float


class Candidate(NamedTuple):
    """A server with enough votes for an ejection."""

    server_id: str
    incarnation: int
    score: float  # sum over the observers
    observers: int
    reason: Reason


class ObserverReports:
    """Keep the newest report of each observer and pool, and evaluate them as votes."""

    def __init__(self) -> None:
        self._latest: dict[tuple[str, str], _ReceivedReport] = {}

    def add(self, report: EvidenceReported, now: float) -> None:
        """Store a report unless a newer one of the same observer arrived first."""
        key = (report.observer, report.pool)
        received = self._latest.get(key)
        if received is not None and _is_outdated(report, received, now):
            return
        self._latest[key] = _ReceivedReport(report, now)

    def remove_observer(self, observer: str) -> None:
        """Drop the reports of a daemon that left on purpose."""
        for key in [each for each in self._latest if each[0] == observer]:
            del self._latest[key]

    def clear(self) -> None:
        """Drop all reports."""
        self._latest.clear()

    def reports(self, now: float) -> tuple[EvidenceReported, ...]:
        """Return the reports that are recent enough for a grant to answer."""
        return tuple(
            received.report
            for received in self._latest.values()
            if now - received.received_at < LEASE_S
        )

    def known_observers(self, now: float) -> int:
        """Count the observers of the last ``OBSERVER_RETENTION_S`` seconds.

        Observers that are cut off count too.
        """
        for key in [
            key
            for key, received in self._latest.items()
            if now - received.received_at > OBSERVER_RETENTION_S
        ]:
            del self._latest[key]
        return len({observer for observer, _ in self._latest})

    def suspects(
        self, end_versions: Mapping[str, tuple[int, int]], now: float
    ) -> frozenset[str]:
        """Return the servers for which reports of all observers should be requested.

        Half of the total score that an ejection needs is enough.
        """
        quorum = min(OBSERVER_QUORUM, self.known_observers(now))
        return frozenset(
            server_id
            for server_id, votes in self._votes(end_versions, now).items()
            if _total_bad_score(votes) >= quorum * SUSPECT_SCORE / 2
        )

    def candidates(
        self, end_versions: Mapping[str, tuple[int, int]], now: float
    ) -> tuple[Candidate, ...]:
        """Return the servers that the observers agree are bad, the worst first.

        ``end_versions`` maps a server to the term and sequence at which its last
        ejection ended. Evidence of an observer whose list of ejections is older
        than that is ignored.
        """
        known = self.known_observers(now)
        quorum = min(OBSERVER_QUORUM, known)
        cut_off = known - len(self._connected_observers(now))
        found = [
            _make_candidate(server_id, votes, quorum, cut_off)
            for server_id, votes in self._votes(end_versions, now).items()
        ]
        agreed = [candidate for candidate in found if candidate is not None]
        return tuple(sorted(agreed, key=lambda each: -each.score))

    def _connected_observers(self, now: float) -> frozenset[str]:
        return frozenset(
            observer
            for (observer, _), received in self._latest.items()
            if now - received.received_at < OBSERVER_TIMEOUT_S
        )

    def _votes(
        self, end_versions: Mapping[str, tuple[int, int]], now: float
    ) -> Mapping[str, Mapping[str, ServerEvidence]]:
        votes: dict[str, dict[str, ServerEvidence]] = {}
        for (observer, _), received in self._latest.items():
            age_s = now - received.received_at
            version = (received.report.term, received.report.sequence)
            for evidence in received.report.servers:
                limit_s = (
                    GOOD_VOTE_TTL_S if evidence.score < BAD_SCORE else BAD_VOTE_TTL_S
                )
                if age_s + evidence.age_s >= limit_s:
                    continue
                if version < end_versions.get(evidence.server_id, version):
                    continue
                given = votes.setdefault(evidence.server_id, {})
                if observer in given and given[observer].score >= evidence.score:
                    continue
                given[observer] = evidence
        return votes


def _is_outdated(
    report: EvidenceReported, received: _ReceivedReport, now: float
) -> bool:
    # The clock of a restarted observer may start at 0 again, so timestamps are
    # compared only while the observer reports without a gap.
    is_alive = now - received.received_at < OBSERVER_TIMEOUT_S
    return is_alive and report.asked_at <= received.report.asked_at


def _make_candidate(
    server_id: str, votes: Mapping[str, ServerEvidence], quorum: int, cut_off: int
) -> Candidate | None:
    bad = [vote for vote in votes.values() if vote.score >= BAD_SCORE]
    good = [vote for vote in votes.values() if vote.score < GOOD_SCORE]
    total = _total_bad_score(votes)
    if len(bad) < quorum or total < quorum * SUSPECT_SCORE:
        return None
    if len(bad) <= len(good) + cut_off:
        return None
    worst = max(bad, key=lambda vote: vote.score)
    return Candidate(server_id, worst.incarnation, total, len(bad), worst.reason)


def _total_bad_score(votes: Mapping[str, ServerEvidence]) -> float:
    return sum(vote.score for vote in votes.values() if vote.score >= BAD_SCORE)
