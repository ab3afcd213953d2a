"""Estimate the probability that a backend server fails requests.

The server is modelled as a two-state Markov process that fails and recovers at
random, and the risk is its posterior probability of failing. Each request is
evidence about the moment at which it was sent: an answer lowers the risk, a
failure raises it, and a request that is still unanswered raises it the more,
the smaller the share of its route's requests that take this long.
"""

import math
from collections import deque
from collections.abc import Callable

FAILURES_PER_S = 0.035  # a healthy server starts to fail about twice a minute
RECOVERIES_PER_S = 0.1  # a failing server recovers after about ten seconds
FAILING_ERROR_SHARE = 0.8  # share of requests that fail at a failing server
HEALTHY_ERROR_SHARE = 0.02  # share of requests that fail at a healthy server
INITIAL_RISK = 0.1  # risk of a server that has answered nothing yet
MIN_SURVIVAL = 0.002  # floor that bounds the evidence of one unanswered request
# Requests older than the window, and the oldest beyond this number, are merged into
# the prior risk.
WINDOW_S = 15.0
MAX_OBSERVATIONS = 128
_DECAY_RATE_PER_S = FAILURES_PER_S + RECOVERIES_PER_S  # of old evidence
_STEADY_RISK = FAILURES_PER_S / _DECAY_RATE_PER_S  # risk without any evidence

# Maps a duration in s to the share of requests that take longer.
Survival = Callable[[float], float]


class _Observation:
    """One request as evidence: when it was sent, and how and when it ended."""

    __slots__ = ("calls", "ended_at", "is_good", "sent_at", "survival")

    def __init__(self, sent_at: float, survival: Survival) -> None:
        self.sent_at = sent_at
        self.survival = survival
        self.calls = 0  # that the server waits for while it runs the request
        self.ended_at: float | None = None
        self.is_good: bool | None = None  # None while it runs, or if it was given up

    def likelihood_ratio(self, now: float) -> float:
        """Return the likelihood ratio of a failing server to a healthy one."""
        if self.is_good is True:
            return (1.0 - FAILING_ERROR_SHARE) / (1.0 - HEALTHY_ERROR_SHARE)
        if self.is_good is False:
            return FAILING_ERROR_SHARE / HEALTHY_ERROR_SHARE
        until = now if self.ended_at is None else self.ended_at
        share = max(MIN_SURVIVAL, self.survival(until - self.sent_at))
        return (FAILING_ERROR_SHARE + (1.0 - FAILING_ERROR_SHARE) * share) / share


class Liveness:
    """The evidence on one server, and the risk that follows from it."""

    def __init__(self, now: float) -> None:
        # The risk before the oldest observation, and the time that it applies to.
        self._prior_at = now
        self._prior_risk = INITIAL_RISK
        self._observations: deque[_Observation] = deque()
        self._unanswered: dict[str, _Observation] = {}

    def record_sent(self, request_id: str, survival: Survival, now: float) -> None:
        """Record a request that is sent now."""
        observation = _Observation(now, survival)
        self._unanswered[request_id] = observation
        self._observations.append(observation)
        self._merge_old(now)

    def record_end(self, request_id: str, now: float, *, is_good: bool | None) -> None:
        """Record the end of a request; ``is_good`` is None if it was given up."""
        observation = self._unanswered.pop(request_id, None)
        if observation is None:
            return
        observation.ended_at = now
        observation.is_good = is_good
        if observation.calls and is_good is not None:
            observation.sent_at = now
            self._observations.append(observation)

    def discard(self, request_id: str) -> None:
        """Drop a request that tells nothing about whether the server fails."""
        observation = self._unanswered.pop(request_id, None)
        if observation is not None and observation in self._observations:
            self._observations.remove(observation)

    def is_paused(self, request_id: str) -> bool:
        """Return whether a request's run waits for a call."""
        observation = self._unanswered.get(request_id)
        return observation is not None and observation.calls > 0

    def pause(self, request_id: str) -> None:
        """Take no answer for no evidence while the request's run waits for a call."""
        observation = self._unanswered.get(request_id)
        if observation is None:
            return
        observation.calls += 1
        if observation in self._observations:
            self._observations.remove(observation)

    def resume(self, request_id: str, now: float) -> None:
        """Count a request from ``now`` (seconds), when its run's last call ended.

        A run that makes calls does not hang, and how long they take tells nothing
        about its server.
        """
        observation = self._unanswered.get(request_id)
        if observation is None or not observation.calls:
            return
        observation.calls -= 1
        if not observation.calls:
            observation.sent_at = now
            self._observations.append(observation)

    def risk(self, now: float) -> float:
        """Return the probability that the server is in its failing state now."""
        risk = self._prior_risk
        risk_at = self._prior_at  # time that ``risk`` applies to
        for observation in self._observations:
            risk = _approach_steady_risk(risk, observation.sent_at - risk_at)
            risk_at = observation.sent_at
            odds = observation.likelihood_ratio(now) * risk / (1.0 - risk)
            risk = min(0.999, odds / (1.0 + odds))
        return _approach_steady_risk(risk, now - risk_at)

    def idle_s(self, now: float) -> float:
        """Return how long ago the newest request was sent, in seconds."""
        newest = (
            self._observations[-1].sent_at if self._observations else self._prior_at
        )
        return now - newest

    def _merge_old(self, now: float) -> None:
        """Merge observations that are too old or too many into the prior risk."""
        while len(self._observations) > MAX_OBSERVATIONS or (
            self._observations and now - self._observations[0].sent_at > WINDOW_S
        ):
            old = self._observations.popleft()
            risk = _approach_steady_risk(self._prior_risk, old.sent_at - self._prior_at)
            odds = old.likelihood_ratio(now) * risk / (1.0 - risk)
            self._prior_risk = min(0.999, odds / (1.0 + odds))
            self._prior_at = old.sent_at


def _approach_steady_risk(risk: float, seconds: float) -> float:
    """Return a risk after ``seconds`` without evidence; it tends to _STEADY_RISK."""
    return _STEADY_RISK + (risk - _STEADY_RISK) * math.exp(
        -_DECAY_RATE_PER_S * max(0.0, seconds)
    )
