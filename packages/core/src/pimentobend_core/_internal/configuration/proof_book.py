"""Keep the proofs that prove the tables in force, or will prove later ones."""

from collections.abc import Mapping

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof_messages import Proof


class ProofBook:
    """Holds proofs until their age reaches the limit.

    Of two proofs only one is kept if it is no older and proves all that the other
    proves, so there are as many as there were new versions within the limit.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._proofs: tuple[Proof, ...] = ()

    def add(self, proof: Proof) -> None:
        """Add a proof, unless one that is held replaces it."""
        if any(_replaces(each, proof) for each in self._proofs):
            return
        kept = tuple(each for each in self._proofs if not _replaces(proof, each))
        self._proofs = (*kept, proof)

    def expire(self, now: float) -> None:
        """Remove the proofs that are too old at ``now``."""
        self._proofs = tuple(
            each for each in self._proofs if now - each.proven_at < self._limit_s
        )

    def find(self, version: Version) -> Proof | None:
        """Return the youngest proof of the tables of a version, or None."""
        proofs = (each for each in self._proofs if each.version <= version)
        return max(proofs, key=lambda each: each.proven_at, default=None)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "held": [
                [str(each.version), round(each.proven_at, 3), each.source]
                for each in self._proofs
            ]
        }


def _replaces(first: Proof, second: Proof) -> bool:
    return first.version <= second.version and first.proven_at >= second.proven_at
