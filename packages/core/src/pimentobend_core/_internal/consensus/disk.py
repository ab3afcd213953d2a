"""Define what a replica asks of its disk."""

import abc

from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.members import Members


class Disk(abc.ABC):
    """Keep a replica's records; what a call returned for is synced."""

    @abc.abstractmethod
    def load(self, members: Members) -> StoredState:
        """Return what is stored; an empty disk is set up with ``members``.

        Undoes a write that failed before. Raises the adapter's error where
        the stored records are damaged or the disk does not answer.
        """

    @abc.abstractmethod
    def append(self, records: tuple[Record, ...]) -> None:
        """Store records behind the others, all or none after a crash."""

    @abc.abstractmethod
    def save(self, snapshot: Snapshot, records: tuple[Record, ...]) -> None:
        """Store a snapshot and records in place of all stored ones."""

    @abc.abstractmethod
    def close(self) -> None:
        """Let go of the disk."""
