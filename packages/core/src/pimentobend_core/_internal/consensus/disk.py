"""Define the interface through which a replica stores its log."""

import abc

from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.members import Members


class Disk(abc.ABC):
    """Stores a replica's records; a write is synced when its call returns."""

    @abc.abstractmethod
    def load(self, members: Members) -> StoredState:
        """Return the stored state; initialise an empty disk with ``members``.

        Undoes an earlier failed write. Raises the adapter's error if the stored
        records are damaged or the disk does not answer.
        """

    @abc.abstractmethod
    def append(self, records: tuple[Record, ...]) -> None:
        """Append records; after a crash, all of them are stored or none."""

    @abc.abstractmethod
    def save(self, snapshot: Snapshot, records: tuple[Record, ...]) -> None:
        """Replace all stored data by a snapshot and records."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the disk."""
