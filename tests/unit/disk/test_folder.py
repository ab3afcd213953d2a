"""Check that acknowledged writes survive crashes and that damage is reported."""

import os
import pathlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from memory_files import CrashError
from memory_files import MemoryFiles

from pimentobend_adapters._internal.disk.exceptions import CorruptDiskError
from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import LOG
from pimentobend_adapters._internal.disk.folder import SNAPSHOT
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members

MEMBERS = Members((Member("a", "127.0.0.1:1"),))
SNAPSHOT_4 = Snapshot(1, 4, MEMBERS, b"state up to four")


def _entries(first: int, last: int) -> tuple[EntryRecord, ...]:
    return tuple(
        EntryRecord(Entry(1, index, b"command %d" % index))
        for index in range(first, last + 1)
    )


def _after_snapshot() -> tuple[Record, ...]:
    return (BaseRecord(1, 2, MEMBERS), TermRecord(1, "a"), *_entries(3, 6))


def _last_index(state: StoredState) -> int:
    return state.entries[-1].log_index if state.entries else state.base.log_index


def _write_all(disk: FolderDisk) -> int:
    """Write in several steps; return the last acknowledged log index."""
    acknowledged = 0
    try:
        disk.load(MEMBERS)
        disk.append((TermRecord(1, "a"), *_entries(1, 3)))
        acknowledged = 3
        disk.append(_entries(4, 6))
        acknowledged = 6
        disk.save(SNAPSHOT_4, _after_snapshot())
        disk.append(_entries(7, 8))
        acknowledged = 8
    except (CrashError, DiskError):
        pass
    return acknowledged


OPERATIONS = 18  # number of file operations that _write_all runs


def test_number_of_file_operations() -> None:
    files = MemoryFiles()
    assert _write_all(FolderDisk(files)) == 8
    assert files.operations == OPERATIONS


@pytest.mark.parametrize("kept_bytes", [0, 1, 20, 60, 10_000])
@pytest.mark.parametrize("crash_at", range(1, OPERATIONS + 1))
def test_a_crash_at_any_step_loses_nothing(crash_at: int, kept_bytes: int) -> None:
    files = MemoryFiles()
    files.crash_at = crash_at
    acknowledged = _write_all(FolderDisk(files))
    files.power_off(kept_bytes)
    disk = FolderDisk(files)
    state = disk.load(MEMBERS)
    assert _last_index(state) >= acknowledged
    disk.append(_entries(_last_index(state) + 1, _last_index(state) + 1))
    assert FolderDisk(files).load(MEMBERS).entries[:-1] == state.entries


@pytest.mark.parametrize("fail_at", range(5, OPERATIONS + 1))
def test_a_full_disk_refuses_and_recovers(fail_at: int) -> None:
    files = MemoryFiles()
    files.fail_at = fail_at
    disk = FolderDisk(files)
    acknowledged = _write_all(disk)
    state = disk.load(MEMBERS)
    assert _last_index(state) >= acknowledged
    disk.append(_entries(_last_index(state) + 1, _last_index(state) + 1))
    after = FolderDisk(files).load(MEMBERS)
    assert _last_index(after) == _last_index(state) + 1


def test_append_is_refused_after_a_failed_write() -> None:
    files = MemoryFiles()
    disk = FolderDisk(files)
    disk.load(MEMBERS)
    files.fail_at = files.operations + 2
    for _ in range(2):
        with pytest.raises(DiskError):
            disk.append(_entries(1, 1))
    disk.load(MEMBERS)
    disk.append(_entries(1, 1))
    assert _last_index(FolderDisk(files).load(MEMBERS)) == 1


@settings(derandomize=True, deadline=None, max_examples=200)
@given(offset=st.integers(0, 10_000))
def test_damage_before_the_last_block_is_refused(offset: int) -> None:
    files = MemoryFiles()
    disk = FolderDisk(files)
    disk.load(MEMBERS)
    disk.append(_entries(1, 30))
    before_last = len(files.read(LOG) or b"")
    disk.append(_entries(31, 31))
    files.damage(LOG, offset % before_last)
    with pytest.raises(CorruptDiskError):
        FolderDisk(files).load(MEMBERS)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(offset=st.integers(0, 10_000))
def test_a_damaged_snapshot_is_refused(offset: int) -> None:
    files = MemoryFiles()
    _write_all(FolderDisk(files))
    files.damage(SNAPSHOT, offset % len(files.read(SNAPSHOT) or b""))
    with pytest.raises(CorruptDiskError):
        FolderDisk(files).load(MEMBERS)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(data=st.binary(max_size=400), keeps_log=st.booleans())
def test_any_bytes_load_or_are_refused(data: bytes, keeps_log: bool) -> None:
    files = MemoryFiles()
    disk = FolderDisk(files)
    disk.load(MEMBERS)
    if keeps_log:
        files.append(LOG, data)
        assert _last_index(FolderDisk(files).load(MEMBERS)) == 0
        return
    files.create(LOG, data)
    with pytest.raises(CorruptDiskError):
        FolderDisk(files).load(MEMBERS)


@pytest.mark.parametrize("cut_bytes", [1, 5, 30, 40])
def test_real_files(tmp_path: pathlib.Path, cut_bytes: int) -> None:
    files = FolderFiles(tmp_path)
    disk = FolderDisk(files)
    assert _write_all(disk) == 8
    with pytest.raises(DiskError, match="another process"):
        FolderFiles(tmp_path)
    disk.close()
    log = tmp_path / LOG
    log.write_bytes(log.read_bytes()[:-cut_bytes])
    files = FolderFiles(tmp_path)
    state = FolderDisk(files).load(MEMBERS)
    files.close()
    assert _last_index(state) == 6
    assert state.snapshot == SNAPSHOT_4


NEW_FOLDERS = [  # folder, folders that exist before, and folders that must be synced
    ("a", [], ["."]),
    ("a/b", ["a"], ["a"]),
    ("a/b/c", ["a"], ["a", "a/b"]),
    ("a/b", ["a/b"], ["a"]),
]


@pytest.mark.parametrize(("name", "existing", "expected"), NEW_FOLDERS)
def test_a_new_folder_survives_a_power_loss(
    name: str,
    existing: list[str],
    expected: list[str],
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A folder that was lost took the identity and the log in it with it."""
    for each in existing:
        (tmp_path / each).mkdir(parents=True)
    synced: list[int] = []
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_ino))
    files = FolderFiles(tmp_path / name)
    files.close()
    assert synced == [(tmp_path / each).stat().st_ino for each in expected]
