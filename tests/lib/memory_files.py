"""The files of a data folder in memory, with lost writes and a full disk."""

import errno

from pimentobend_adapters._internal.disk.files import Files


class CrashError(Exception):
    """A simulated crash at a file operation."""


class MemoryFiles(Files):
    """Keeps synced and unsynced contents, with a fault at the n-th operation.

    ``crash_at`` raises ``CrashError`` before that operation. ``fail_at`` fails it
    as a full disk does, with half of the bytes written.
    """

    def __init__(self) -> None:
        self.crash_at: int | None = None
        self.fail_at: int | None = None
        self.operations = 0
        self._files: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self._names: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        return self._files.get(name)

    def create(self, name: str, data: bytes) -> None:
        self._files[name] = b""
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        try:
            self._count()
        except OSError:
            self._files[name] += data[: len(data) // 2]
            raise
        self._files[name] += data

    def truncate(self, name: str, size_bytes: int) -> None:
        self._count()
        self._files[name] = self._files[name][:size_bytes]

    def sync(self, name: str) -> None:
        self._count()
        self._synced[name] = self._files[name]
        if name in self._names:
            self._names[name] = self._files[name]

    def rename(self, name: str, new_name: str) -> None:
        self._count()
        self._files[new_name] = self._files.pop(name)
        self._synced[new_name] = self._synced.pop(name, b"")

    def sync_folder(self) -> None:
        self._count()
        names = self._files
        self._names = {name: self._synced.get(name, b"") for name in names}

    def close(self) -> None:
        self.crash_at = self.fail_at = None

    def power_off(self, kept_bytes: int) -> None:
        """Drop unsynced data except the first ``kept_bytes`` of an append."""
        after = dict(self._names)
        for name, synced in after.items():
            written = self._files.get(name, b"")
            if written.startswith(synced):
                after[name] = written[: len(synced) + kept_bytes]
        self._files = after
        self._synced = dict(after)
        self._names = dict(after)
        self.crash_at = self.fail_at = None
        self.operations = 0

    def damage(self, name: str, offset: int) -> None:
        """Invert a stored byte."""
        data = bytearray(self._files[name])
        data[offset] ^= 0xFF
        self._files[name] = self._synced[name] = self._names[name] = bytes(data)

    def _count(self) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise CrashError
        if self.operations == self.fail_at:
            raise OSError(errno.ENOSPC, "No space left on device")
