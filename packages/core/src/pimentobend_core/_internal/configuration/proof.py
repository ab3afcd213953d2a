"""Prove that the tables in force on a daemon were the newest a moment ago."""

from collections.abc import Mapping

from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.proof_asker import ProofAsker
from pimentobend_core._internal.configuration.proof_book import ProofBook
from pimentobend_core._internal.configuration.proof_messages import NewerTablesProven
from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.configuration.proof_messages import ProofInput
from pimentobend_core._internal.configuration.proof_messages import ProofLost
from pimentobend_core._internal.configuration.proof_messages import ProofOutput
from pimentobend_core._internal.configuration.proof_messages import ProofRegained
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import TablesProven
from pimentobend_core._internal.configuration.proof_messages import TablesVersionChanged
from pimentobend_core._internal.pipes import TimedFilter

# Share of the bound on revoked keys up to which a proof is valid. The rest covers
# clocks of different rates along the way of a proof.
PROOF_SHARE = 0.9
ASK_INTERVAL_S = 0.7
# A bound below 4.7 s shortens the interval, so that six questions fit into it.
ASKS_PER_LIMIT = 6


class TablesProof(TimedFilter[ProofInput, ProofOutput]):
    """Ask control instances for proofs and state which one proves the tables in force.

    ``now`` is in seconds of the clock that counts suspensions. A proof for tables
    that are not in force yet is kept until they are. A proof is valid until its age
    reaches ``limit_s``.
    """

    def __init__(self, limit_s: float, first_token: int) -> None:
        self._limit_s = limit_s
        interval_s = min(ASK_INTERVAL_S, limit_s / ASKS_PER_LIMIT)
        self._asker = ProofAsker(interval_s, limit_s, first_token)
        self._book = ProofBook(limit_s)
        self._version = FIRST_VERSION  # of the tables in force
        self._proof: Proof | None = None  # the proof of the tables in force

    @property
    def due_at(self) -> float | None:
        """Return when to ask next, or when the proof becomes too old, if earlier."""
        return self._asker.due_with(self._proof)

    def handle(self, message: ProofInput, now: float) -> tuple[ProofOutput, ...]:
        """Handle a reply, newer tables, a change of targets or a tick."""
        lost = self._expire(now)
        hints: tuple[ProofOutput, ...] = ()
        match message:
            case ProofReplyReceived():
                hints = self._receive(message, now)
            case TablesVersionChanged():
                self._version = max(self._version, message.version)
            case ProofTargetsChanged():
                self._asker.update_targets(message.addresses)
        return (*lost, *hints, *self._asker.tick(now), *self._renew(now))

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        proof = self._proof
        return {
            "version": str(self._version),
            "limit_s": self._limit_s,
            "proven_at": None if proof is None else round(proof.proven_at, 3),
            "source": None if proof is None else proof.source,
            **self._book.dump(),
            **self._asker.dump(),
        }

    def _expire(self, now: float) -> tuple[ProofOutput, ...]:
        self._book.expire(now)
        proof = self._proof
        if proof is None or now - proof.proven_at < self._limit_s:
            return ()
        self._proof = None
        return (ProofLost(proof.source, now - proof.proven_at),)

    def _receive(
        self, message: ProofReplyReceived, now: float
    ) -> tuple[ProofOutput, ...]:
        proof = self._asker.accept(message, now)
        if proof is None:
            return ()
        self._book.add(proof)
        if proof.version <= self._version:
            return ()
        return (NewerTablesProven(message.sender, proof.version),)

    def _renew(self, now: float) -> tuple[ProofOutput, ...]:
        """Put the youngest proof of the tables in force in place of an older one."""
        previous, proof = self._proof, self._book.find(self._version)
        if proof is None or (previous and proof.proven_at <= previous.proven_at):
            return ()
        self._proof = proof
        if previous is not None:
            return (TablesProven(proof),)
        regained = ProofRegained(proof.source, now - proof.proven_at)
        return (TablesProven(proof), regained)
