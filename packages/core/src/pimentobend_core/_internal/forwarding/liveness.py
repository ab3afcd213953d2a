"""Estimate whether a backend server answers, from the requests that it runs.

The server is taken for a process that fails and recovers at random. Each
request is evidence of the moment at which it was sent: an answer speaks for
the server, a failure against it, and one that is still unanswered speaks
against it the more, the longer its route usually takes less.
"""

import math
from collections import deque
from collections.abc import Callable

FAILURES_PER_S = 0.035  # a healthy server begins to fail twice a minute
RECOVERIES_PER_S = 0.1  # a failing server recovers after about ten seconds
FAIL_SHARE = 0.8  # of the requests at a failing server
ERROR_SHARE = 0.02  # of the requests at a healthy server
FIRST_RISK = 0.1  # of a server that has answered nothing yet
LEAST_SURVIVAL = 0.002
EVIDENCE_S = 15.0
MAX_EVIDENCE = 128  # requests
_RATE = FAILURES_PER_S + RECOVERIES_PER_S
_STEADY = FAILURES_PER_S / _RATE

Survival = Callable[[float], float]


class _Evidence:
    """Hold what is known of one request."""

    __slots__ = ("ended_at", "is_good", "sent_at", "survival")

    def __init__(self, sent_at: float, survival: Survival) -> None:
        self.sent_at = sent_at
        self.survival = survival
        self.ended_at: float | None = None
        self.is_good: bool | None = None  # None for one that was given up

    def odds(self, now: float) -> float:
        """Return how much likelier this is with a failing server."""
        if self.is_good is True:
            return (1.0 - FAIL_SHARE) / (1.0 - ERROR_SHARE)
        if self.is_good is False:
            return FAIL_SHARE / ERROR_SHARE
        until = now if self.ended_at is None else self.ended_at
        share = max(LEAST_SURVIVAL, self.survival(until - self.sent_at))
        return (FAIL_SHARE + (1.0 - FAIL_SHARE) * share) / share


class Liveness:
    """Own the evidence on one server."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._first_risk = FIRST_RISK
        self._evidence: deque[_Evidence] = deque()
        self._open: dict[str, _Evidence] = {}

    def sent(self, request_id: str, survival: Survival, now: float) -> None:
        """Take a request that is sent now."""
        evidence = _Evidence(now, survival)
        self._open[request_id] = evidence
        self._evidence.append(evidence)
        self._forget(now)

    def ended(self, request_id: str, now: float, *, is_good: bool | None) -> None:
        """Take the end of a request; ``is_good`` is None for one given up."""
        evidence = self._open.pop(request_id, None)
        if evidence is not None:
            evidence.ended_at = now
            evidence.is_good = is_good

    def risk(self, now: float) -> float:
        """Return the probability that the server fails a request sent now."""
        risk = self._first_risk
        at = self._since
        for evidence in self._evidence:
            risk = _drift(risk, evidence.sent_at - at)
            at = evidence.sent_at
            odds = evidence.odds(now) * risk / (1.0 - risk)
            risk = min(0.999, odds / (1.0 + odds))
        return _drift(risk, now - at)

    def quiet_s(self, now: float) -> float:
        """Return how long ago the newest request was sent, in seconds."""
        sent_at = self._evidence[-1].sent_at if self._evidence else self._since
        return now - sent_at

    def _forget(self, now: float) -> None:
        """Fold old evidence into the first risk."""
        while len(self._evidence) > MAX_EVIDENCE or (
            self._evidence and now - self._evidence[0].sent_at > EVIDENCE_S
        ):
            old = self._evidence.popleft()
            risk = _drift(self._first_risk, old.sent_at - self._since)
            odds = old.odds(now) * risk / (1.0 - risk)
            self._first_risk = min(0.999, odds / (1.0 + odds))
            self._since = old.sent_at


def _drift(risk: float, seconds: float) -> float:
    """Return a risk after a time without evidence."""
    return _STEADY + (risk - _STEADY) * math.exp(-_RATE * max(0.0, seconds))
