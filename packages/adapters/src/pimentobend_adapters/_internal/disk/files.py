"""Define and implement the file operations on a replica's data folder."""

import abc
import fcntl
import os
import pathlib

from pimentobend_adapters._internal.disk.exceptions import DiskError


class Files(abc.ABC):
    """Reads and writes files by name in one folder.

    The methods raise ``OSError`` if the system refuses an operation. Data
    survives a power loss once the file is synced, and a new or changed name once
    the folder is synced.
    """

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None if it does not exist."""

    @abc.abstractmethod
    def create(self, name: str, data: bytes) -> None:
        """Write a new file, replacing any file of that name."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Sync a file's data to disk."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Sync the folder, so that its file names are durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all files and release the folder."""


class FolderFiles(Files):
    """Files in a folder that is locked against other processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        _create_folder(folder)
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise DiskError(
                "another process is using the data folder",
                context=str(folder),
                hint="stop the other process or use another data folder",
            ) from error

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None if it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str, data: bytes) -> None:
        """Write a new file, replacing any file of that name."""
        self._close_file(name)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._descriptors[name] = os.open(self._folder / name, flags, 0o600)
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        descriptor = self._descriptor(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def sync(self, name: str) -> None:
        """Sync a file's data to disk."""
        os.fdatasync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name."""
        os.rename(self._folder / name, self._folder / new_name)
        self._close_file(new_name)
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def sync_folder(self) -> None:
        """Sync the folder, so that its file names are durable."""
        _sync_folder(self._folder)

    def close(self) -> None:
        """Close all files and release the folder."""
        for name in list(self._descriptors):
            self._close_file(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_RDWR | os.O_APPEND
            self._descriptors[name] = os.open(self._folder / name, flags)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _create_folder(folder: pathlib.Path) -> None:
    """Create a folder and its parents, so that they survive a power loss."""
    if not folder.parent.exists():
        _create_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    # Also if it exists: its creator may have been killed before it synced.
    _sync_folder(folder.parent)


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
