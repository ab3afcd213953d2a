"""Define the errors of the replicated log."""

from pimentobend_core._internal.exceptions import CoreError


class ConsensusError(CoreError):
    """The replicated log cannot be used."""


class CorruptLogError(ConsensusError):
    """Stored records contradict one another."""
