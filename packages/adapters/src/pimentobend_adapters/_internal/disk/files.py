"""Define the few file operations that the data folder is built on."""

import abc
import fcntl
import os
import pathlib

from pimentobend_adapters._internal.disk.exceptions import DiskError


class Files(abc.ABC):
    """Read and write files by name in one folder; raise ``OSError``.

    A write lasts once the file is synced, a name once the folder is.
    """

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is no such file."""

    @abc.abstractmethod
    def create(self, name: str, data: bytes) -> None:
        """Write a new file, in place of an old one."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Write behind the end of a file."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make a file's bytes last."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, in place of one of that name."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Make the names in the folder last."""

    @abc.abstractmethod
    def close(self) -> None:
        """Let go of the folder."""


class FolderFiles(Files):
    """Own a folder, which no second process may open."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise DiskError(
                "another process uses the data folder",
                context=str(folder),
                hint="end the other process or choose another folder",
            ) from error

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is no such file."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str, data: bytes) -> None:
        """Write a new file, in place of an old one."""
        self._forget(name)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._descriptors[name] = os.open(self._folder / name, flags, 0o600)
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Write behind the end of a file."""
        descriptor = self._descriptor(name)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def sync(self, name: str) -> None:
        """Make a file's bytes last."""
        os.fdatasync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, in place of one of that name."""
        os.rename(self._folder / name, self._folder / new_name)
        self._forget(new_name)
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def sync_folder(self) -> None:
        """Make the names in the folder last."""
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Let go of the folder."""
        for name in list(self._descriptors):
            self._forget(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_RDWR | os.O_APPEND
            self._descriptors[name] = os.open(self._folder / name, flags)
        return self._descriptors[name]

    def _forget(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
