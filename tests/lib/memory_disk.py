"""Simulate a replica's disk in memory, with failing writes."""

import enum

from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_core._internal.consensus.disk import Disk
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.storage import replay


class DiskFault(enum.Enum):
    """How the next write fails."""

    LOST = "lost"  # the write stores nothing
    REFUSED_BUT_STORED = (
        "refused-but-stored"  # the data is stored and synced before the write fails
    )
    SNAPSHOT_ONLY = "snapshot-only"  # the snapshot is stored, but not the log


class MemoryDisk(Disk):
    """Keeps synced records in memory; ``fault`` applies to the next write."""

    def __init__(self) -> None:
        self.fault: DiskFault | None = None
        self._records: list[Record] = []
        self._snapshot: Snapshot | None = None

    def load(self, members: Members) -> StoredState:
        if not self._records:
            self._records = [BaseRecord(0, 0, members), TermRecord(0, None)]
        return replay(self._records, self._snapshot)

    def append(self, records: tuple[Record, ...]) -> None:
        fault, self.fault = self.fault, None
        if fault is None or fault is DiskFault.REFUSED_BUT_STORED:
            self._records.extend(records)
        if fault is not None:
            raise DiskError("the fake disk refuses")

    def save(self, snapshot: Snapshot, records: tuple[Record, ...]) -> None:
        fault, self.fault = self.fault, None
        if fault is not DiskFault.LOST:
            self._snapshot = snapshot
        if fault is None or fault is DiskFault.REFUSED_BUT_STORED:
            self._records = list(records)
        if fault is not None:
            raise DiskError("the fake disk refuses")

    def close(self) -> None:
        self.fault = None
