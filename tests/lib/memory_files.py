"""Simulate a data folder in memory, with power losses and a full disk."""

import errno

from pimentobend_adapters._internal.disk.files import Files


class CrashError(Exception):
    """A simulated crash at a file operation."""


class MemoryFiles(Files):
    """Simulated files that can lose what was not synced.

    Operations are counted from 1. The one with the number ``crash_at`` raises
    ``CrashError`` instead of being run. The one with the number ``fail_at`` fails
    as on a full disk; an append then writes half of its bytes.
    """

    def __init__(self) -> None:
        self.crash_at: int | None = None
        self.fail_at: int | None = None
        self.operations = 0
        self._files: dict[str, bytes] = {}  # contents as written
        self._synced: dict[str, bytes] = {}  # contents at the last sync of the file
        # Contents that survive a power loss, under the names last synced.
        self._durable: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        return self._files.get(name)

    def create(self, name: str, data: bytes) -> None:
        self._files[name] = b""
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        try:
            self._begin_operation()
        except OSError:
            self._files[name] += data[: len(data) // 2]
            raise
        self._files[name] += data

    def truncate(self, name: str, size_bytes: int) -> None:
        self._begin_operation()
        self._files[name] = self._files[name][:size_bytes]

    def sync(self, name: str) -> None:
        self._begin_operation()
        self._synced[name] = self._files[name]
        if name in self._durable:
            self._durable[name] = self._files[name]

    def rename(self, name: str, new_name: str) -> None:
        self._begin_operation()
        self._files[new_name] = self._files.pop(name)
        self._synced[new_name] = self._synced.pop(name, b"")

    def sync_folder(self) -> None:
        self._begin_operation()
        self._durable = {name: self._synced.get(name, b"") for name in self._files}

    def close(self) -> None:
        self.crash_at = self.fail_at = None

    def power_off(self, kept_bytes: int) -> None:
        """Drop unsynced data except the first ``kept_bytes`` appended to each file."""
        durable = dict(self._durable)
        for name, synced in durable.items():
            written = self._files.get(name, b"")
            if written.startswith(synced):
                durable[name] = written[: len(synced) + kept_bytes]
        self._files = durable
        self._synced = dict(durable)
        self._durable = dict(durable)
        self.crash_at = self.fail_at = None
        self.operations = 0

    def damage(self, name: str, offset: int) -> None:
        """Invert a stored byte."""
        data = bytearray(self._files[name])
        data[offset] ^= 0xFF
        self._files[name] = self._synced[name] = self._durable[name] = bytes(data)

    def _begin_operation(self) -> None:
        """Count an operation; raise ``CrashError`` or ``OSError`` if it is to fail."""
        self.operations += 1
        if self.operations == self.crash_at:
            raise CrashError(f"simulated crash at operation {self.operations}")
        if self.operations == self.fail_at:
            raise OSError(errno.ENOSPC, "No space left on device")
