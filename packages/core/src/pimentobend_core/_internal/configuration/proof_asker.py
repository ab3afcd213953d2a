"""Decide which control instance to ask for a proof, when, and what its reply proves."""

import math
from collections.abc import Mapping

from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.configuration.proof_messages import ProofAsk
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofSent

ANSWER_TIMEOUT_S = 0.2  # three round trips between regions
RETURN_S = 10.0  # so long another control instance is asked in place of the nearest
# A reply whose proof is older than this share of the limit counts as none, as the
# control instance that gave it has probably lost the leader.
FRESH_SHARE = 0.5


class ProofAsker:
    """Asks one control instance at a time, the next one after a missing reply.

    A proof counts from the moment its question was sent, less the age in the reply.
    ``first_token`` must be random: a reply to an earlier process of this daemon
    would otherwise count from a later question.
    """

    def __init__(self, interval_s: float, limit_s: float, first_token: int) -> None:
        self._interval_s = interval_s
        self._limit_s = limit_s
        self._next_token = first_token
        self._targets: tuple[str, ...] = ()
        self._position = 0
        self._moved_at = 0.0  # when the target last changed
        self._asked_at: float | None = None
        self._is_answered = False
        self._misses = 0  # questions in a row without a fresh reply
        self._questions: dict[int, float] = {}  # time of each by token

    @property
    def due_at(self) -> float | None:
        """Return when the next question is due; None without a target."""
        if not self._targets:
            return None
        if self._asked_at is None:
            return -math.inf
        has_asked_all = self._misses >= len(self._targets)
        is_waiting = not self._is_answered and not has_asked_all
        wait_s = ANSWER_TIMEOUT_S if is_waiting else self._interval_s
        return self._asked_at + wait_s

    def due_with(self, proof: Proof | None) -> float | None:
        """Return when to ask next, or when a proof becomes too old, if earlier."""
        lost_at = None if proof is None else proof.proven_at + self._limit_s
        times = [each for each in (self.due_at, lost_at) if each is not None]
        return min(times, default=None)

    def update_targets(self, addresses: tuple[str, ...]) -> None:
        """Replace the control instances, and ask the first one next."""
        self._targets = addresses
        self._position = 0
        self._misses = 0
        self._asked_at = None

    def tick(self, now: float) -> tuple[ProofSent, ...]:
        """Return the question that is due, if any."""
        due_at = self.due_at
        if due_at is None or now < due_at:
            return ()
        if self._asked_at is not None and not self._is_answered:
            self._misses += 1
            self._move(self._position + 1, now)
        return self._ask(now)

    def accept(self, received: ProofReplyReceived, now: float) -> Proof | None:
        """Return the proof of a reply, or None if it proves nothing now."""
        reply = received.reply
        asked_at = self._questions.pop(reply.token, None)
        if asked_at is None or not 0 <= reply.age_s < self._limit_s:
            return None
        proof = Proof(reply.version, asked_at - reply.age_s, received.sender)
        age_s = now - proof.proven_at
        if age_s < FRESH_SHARE * self._limit_s:
            self._is_answered = True
            self._misses = 0
        return proof if age_s < self._limit_s else None

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "target": self._target if self._targets else None,
            "targets": len(self._targets),
            "misses": self._misses,
        }

    @property
    def _target(self) -> str:
        return self._targets[self._position % len(self._targets)]

    def _ask(self, now: float) -> tuple[ProofSent, ...]:
        if self._position and now - self._moved_at >= RETURN_S:
            self._move(0, now)
        self._questions = {
            token: asked_at
            for token, asked_at in self._questions.items()
            if now - asked_at < self._limit_s
        }
        token = self._next_token
        self._next_token += 1
        self._questions[token] = now
        self._asked_at = now
        self._is_answered = False
        return (ProofSent(self._target, ProofAsk(token)),)

    def _move(self, position: int, now: float) -> None:
        self._position = position
        self._moved_at = now
