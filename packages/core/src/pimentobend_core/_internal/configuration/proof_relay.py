"""Answer daemons from the proof that a control instance has."""

from collections.abc import Mapping

from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.proof_asker import ProofAsker
from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.configuration.proof_messages import ProofAskReceived
from pimentobend_core._internal.configuration.proof_messages import ProofLost
from pimentobend_core._internal.configuration.proof_messages import ProofRegained
from pimentobend_core._internal.configuration.proof_messages import ProofReply
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofSent
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import RelayInput
from pimentobend_core._internal.configuration.proof_messages import RelayOutput
from pimentobend_core._internal.pipes import TimedFilter

ASK_INTERVAL_S = 0.5
# A bound below 5 s shortens the interval, so that nine questions fit into it.
ASKS_PER_LIMIT = 9


class ProofRelay(TimedFilter[RelayInput, RelayOutput]):
    """Get proofs from confirmations or from the leader, and answer from the youngest.

    ``now`` is in seconds of the clock that counts suspensions. The target is the
    leader; there is none while this control instance leads. Questions stay without
    an answer while there is no proof younger than ``limit_s``.
    """

    def __init__(self, address: str, limit_s: float, first_token: int) -> None:
        self._address = address
        self._limit_s = limit_s
        interval_s = min(ASK_INTERVAL_S, limit_s / ASKS_PER_LIMIT)
        self._asker = ProofAsker(interval_s, limit_s, first_token)
        self._proof: Proof | None = None
        self._answered = 0

    @property
    def due_at(self) -> float | None:
        """Return when to ask next, or when the proof becomes too old, if earlier."""
        return self._asker.due_with(self._proof)

    def handle(self, message: RelayInput, now: float) -> tuple[RelayOutput, ...]:
        """Handle a question, a reply, a confirmation, another leader or a tick."""
        outputs = self._expire(now)
        match message:
            case ProofAskReceived():
                outputs += self._answer(message, now)
            case ProofReplyReceived():
                outputs += self._renew(self._asker.accept(message, now), now)
            case LeadershipConfirmed():
                confirmed = Proof(message.version, message.asked_at, self._address)
                outputs += self._renew(confirmed, now)
            case ProofTargetsChanged():
                self._asker.update_targets(message.addresses)
        return (*outputs, *self._asker.tick(now))

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        proof = self._proof
        return {
            "version": None if proof is None else str(proof.version),
            "limit_s": self._limit_s,
            "proven_at": None if proof is None else round(proof.proven_at, 3),
            "source": None if proof is None else proof.source,
            "answered": self._answered,
            **self._asker.dump(),
        }

    def _expire(self, now: float) -> tuple[RelayOutput, ...]:
        proof = self._proof
        if proof is None or now - proof.proven_at < self._limit_s:
            return ()
        self._proof = None
        return (ProofLost(proof.source, now - proof.proven_at),)

    def _answer(self, asked: ProofAskReceived, now: float) -> tuple[RelayOutput, ...]:
        proof = self._proof
        if proof is None:
            return ()
        self._answered += 1
        age_s = now - proof.proven_at
        reply = ProofReply(asked.ask.token, proof.version, age_s)
        return (ProofSent(asked.sender, reply),)

    def _renew(self, proof: Proof | None, now: float) -> tuple[RelayOutput, ...]:
        previous = self._proof
        if proof is None or now - proof.proven_at >= self._limit_s:
            return ()
        if previous is not None and proof.proven_at <= previous.proven_at:
            return ()
        self._proof = proof
        if previous is not None:
            return ()
        return (ProofRegained(proof.source, now - proof.proven_at),)
