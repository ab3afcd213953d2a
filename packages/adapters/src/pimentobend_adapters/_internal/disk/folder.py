"""Store a replica's log and snapshot in files."""

from pimentobend_adapters._internal.disk.blocks import encode_block
from pimentobend_adapters._internal.disk.blocks import read_blocks
from pimentobend_adapters._internal.disk.exceptions import CorruptDiskError
from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_adapters._internal.disk.files import Files
from pimentobend_core._internal.consensus.codec import decode_records
from pimentobend_core._internal.consensus.codec import decode_snapshot
from pimentobend_core._internal.consensus.codec import encode_records
from pimentobend_core._internal.consensus.codec import encode_snapshot
from pimentobend_core._internal.consensus.disk import Disk
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.exceptions import CorruptLogError
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.storage import replay
from pimentobend_core._internal.exceptions import CodecError

LOG = "log"
SNAPSHOT = "snapshot"
_TEMPORARY_SUFFIX = ".new"


class FolderDisk(Disk):
    """Disk that stores the files ``log`` and ``snapshot`` in a data folder."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._sequence = 0  # number of the last synced block
        self._size_bytes = 0  # size of the log up to its last synced block
        self._has_torn_end = False  # an append failed; ``load`` truncates the log

    def load(self, members: Members) -> StoredState:
        """Return the stored state; truncate a torn write at the end of the log.

        Raises ``DiskError`` if the folder cannot be read or its data is damaged.
        """
        try:
            if self._has_torn_end:
                self._truncate_log(self._size_bytes)
            return self._load(members)
        except OSError as error:
            raise _disk_error("the data folder cannot be read", error) from error
        except (CodecError, CorruptLogError) as error:
            raise CorruptDiskError(
                "the stored log is damaged",
                context=str(error),
                hint="remove this replica and add one with a new id",
            ) from error

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records as one block and sync it.

        Raises ``DiskError`` if this or an earlier write failed.
        """
        if self._has_torn_end:
            raise DiskError(
                "an earlier write to the log failed",
                context=f"block {self._sequence + 1} at byte {self._size_bytes}",
            )
        block = encode_block(self._sequence + 1, encode_records(records))
        try:
            self._files.append(LOG, block)
            self._files.sync(LOG)
        except OSError as error:
            self._has_torn_end = True
            raise _disk_error("the log cannot be written", error) from error
        self._sequence += 1
        self._size_bytes += len(block)

    def save(self, snapshot: Snapshot, records: tuple[Record, ...]) -> None:
        """Store a snapshot, then replace the log by records.

        Raises ``DiskError`` if one of them cannot be written.
        """
        if self._has_torn_end:
            raise DiskError(
                "an earlier write to the log failed",
                context=f"block {self._sequence + 1} at byte {self._size_bytes}",
            )
        try:
            self._replace(SNAPSHOT, encode_block(1, encode_snapshot(snapshot)))
            self._replace_log(records)
        except OSError as error:
            raise _disk_error("the snapshot cannot be written", error) from error

    def close(self) -> None:
        """Close the files and release the folder."""
        self._files.close()

    def _load(self, members: Members) -> StoredState:
        snapshot = self._load_snapshot()
        data = self._files.read(LOG)
        if data is None:
            if snapshot is not None:
                raise CorruptDiskError("the data folder has a snapshot but no log")
            self._replace_log((BaseRecord(0, 0, members), TermRecord(0, None)))
            data = self._files.read(LOG) or b""
        self._sequence = 0
        self._size_bytes = 0
        records: list[Record] = []
        for block in read_blocks(data):
            records.extend(decode_records(block.payload))
            self._sequence = block.sequence
            self._size_bytes = block.end
        state = replay(records, snapshot)
        if self._size_bytes < len(data):
            self._truncate_log(self._size_bytes)
        return state

    def _load_snapshot(self) -> Snapshot | None:
        data = self._files.read(SNAPSHOT)
        if data is None:
            return None
        blocks = list(read_blocks(data))
        if len(blocks) != 1 or blocks[0].end != len(data):
            raise CorruptDiskError(
                "the stored snapshot is damaged",
                context=f"{len(blocks)} intact blocks in {len(data)} bytes",
                hint="remove this replica and add one with a new id",
            )
        return decode_snapshot(blocks[0].payload)

    def _replace_log(self, records: tuple[Record, ...]) -> None:
        block = encode_block(1, encode_records(records))
        self._replace(LOG, block)
        self._sequence = 1
        self._size_bytes = len(block)

    def _replace(self, name: str, data: bytes) -> None:
        temporary = name + _TEMPORARY_SUFFIX
        self._files.create(temporary, data)
        self._files.sync(temporary)
        self._files.rename(temporary, name)
        self._files.sync_folder()

    def _truncate_log(self, size_bytes: int) -> None:
        self._files.truncate(LOG, size_bytes)
        self._files.sync(LOG)
        self._has_torn_end = False


def _disk_error(message: str, error: OSError) -> DiskError:
    return DiskError(
        message,
        context=error.strerror or str(error),
        hint="free space on the data folder's disk, or replace the replica",
    )
