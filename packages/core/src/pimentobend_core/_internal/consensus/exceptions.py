"""Define the errors of the replicated log."""

from pimentobend_core._internal.exceptions import CoreError


class ConsensusError(CoreError):
    """Report a replicated log that cannot be used."""


class CorruptLogError(ConsensusError):
    """Report stored records that contradict one another."""
