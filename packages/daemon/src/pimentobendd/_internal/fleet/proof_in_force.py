"""Hold the proof of the tables in force for the requests that need it."""

from typing import Any

import eventlet
import eventlet.event

from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import ProofPort

# Requests wait only so long after the first one that found no proof. Later ones are
# refused at once, as this daemon is probably cut off.
MAX_SPELL_S = 1.0


class ProofInForce(ProofPort):
    """Holds the youngest proof of the tables in force.

    Its age is read from ``boot_clock``, which counts suspensions, and waits from
    ``clock``. The tables in force never return to an earlier version, so a proof of
    them stays one.
    """

    def __init__(self, limit_s: float, boot_clock: ClockPort, clock: ClockPort) -> None:
        self._limit_s = limit_s
        self._boot_clock = boot_clock
        self._clock = clock
        self._proof: Proof | None = None
        self._missed_at: float | None = None  # when a request first found no proof
        self._regained: Any = eventlet.event.Event()

    def is_proven(self) -> bool:
        """Return whether the age of the proof is below the limit."""
        if self._proof is None:
            return False
        return self._boot_clock.now() - self._proof.proven_at < self._limit_s

    def await_proof(self, timeout_s: float) -> bool:
        """Wait for a proof, at most until ``MAX_SPELL_S`` after the first miss."""
        if self.is_proven():
            return True
        now = self._clock.now()
        if self._missed_at is None:
            self._missed_at = now
        left_s = min(timeout_s, self._missed_at + MAX_SPELL_S - now)
        if left_s > 0:
            with eventlet.Timeout(left_s, False):
                self._regained.wait()
        return self.is_proven()

    def put(self, proof: Proof) -> None:
        """Replace the proof and wake the requests that wait for one."""
        self._proof = proof
        if self._missed_at is None or not self.is_proven():
            return
        self._missed_at = None
        regained, self._regained = self._regained, eventlet.event.Event()
        regained.send(None)
