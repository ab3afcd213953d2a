"""Benchmark of the time a replica takes to recover from its data folder."""

import pathlib
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from collections.abc import Sequence

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.service import ConfigurationService
from pimentobend_core._internal.consensus.constants import RETAINED_ENTRIES
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.replica import Replica

TARGET_S = 1.0
TARGET_CHANGES = 10_000
CHANGES = (1_000, 3_000, 10_000, 30_000)
ROUTES = 9_000
REPEATS = 3  # the fastest counts
ENTRIES_PER_SYNC = 8
MEMBERS = Members((Member("a", "127.0.0.1:1"),))


class RecoveryCommand(Command):
    """Stores changes of one route each to tables of the target size, then recovers."""

    name = "recovery"
    usage = "recovery"
    summary = "time to recover by log length, with and without a snapshot"

    def run(self, args: Sequence[str]) -> Status:
        """Print a row for each log length; TARGET_MISSED if recovery is too slow."""
        is_missed = False
        print(f"seconds until recovered, {ROUTES} routes, best of {REPEATS}")
        print(f"{'changes':>8} {'no snapshot':>12} {'snapshot':>9}  target {TARGET_S}")
        for changes in CHANGES:
            plain = _measure(changes, compacts=False)
            compacted = _measure(changes, compacts=True)
            print(f"{changes:8} {plain:12.3f} {compacted:9.3f}")
            if changes == TARGET_CHANGES:
                is_missed = compacted > TARGET_S
        return Status.TARGET_MISSED if is_missed else Status.SUCCESS


def _measure(changes: int, *, compacts: bool) -> float:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        _store(path, changes, compacts=compacts)
        return min(_recover(path, changes + 1) for _ in range(REPEATS))


def _store(path: pathlib.Path, changes: int, *, compacts: bool) -> None:
    """Write the log of a replica; with ``compacts``, save each snapshot it asks for."""
    disk = FolderDisk(FolderFiles(path))
    disk.load(MEMBERS)
    disk.append((TermRecord(1, "a"),))
    service = ConfigurationService("a")
    entries: list[Entry] = []
    recent: deque[Entry] = deque(maxlen=RETAINED_ENTRIES)
    for entry in _entries(service, changes):
        entries.append(entry)
        recent.append(entry)
        outputs = service.handle(Committed((entry,)), 0.0)
        compact = next(
            (output for output in outputs if isinstance(output, Compact)), None
        )
        if compacts and compact is not None:
            _save(disk, compact, tuple(recent))
            entries = []
        elif len(entries) == ENTRIES_PER_SYNC:
            disk.append(tuple(map(EntryRecord, entries)))
            entries = []
    if entries:
        disk.append(tuple(map(EntryRecord, entries)))
    disk.close()


def _entries(service: ConfigurationService, changes: int) -> Iterator[Entry]:
    """Yield an entry that holds all tables, then one for each change of a route."""
    routes = tuple(make_routes(ROUTES))
    tables = service.state.tables
    delta = tables.diff(routes, tuple(make_pools()))
    for number in range(changes + 1):
        if number:
            route = routes[number % ROUTES]._replace(timeout_ms=1 + number % 1000)
            delta = TablesDelta(tables.version, (route,), (), (), ())
        command = encode(TablesCommand(f"change-{number}", delta))
        yield Entry(1, number + 1, command)


def _save(disk: FolderDisk, compact: Compact, entries: tuple[Entry, ...]) -> None:
    base = BaseRecord(1, entries[0].log_index - 1, MEMBERS)
    kept = (EntryRecord(entry) for entry in entries)
    records: tuple[Record, ...] = (base, TermRecord(1, "a"), *kept)
    snapshot = Snapshot(1, compact.log_index, MEMBERS, compact.state)
    disk.save(snapshot, records)


def _recover(path: pathlib.Path, last_index: int) -> float:
    """Load the data folder and apply its entries; return the seconds it took."""
    started = time.perf_counter()
    disk = FolderDisk(FolderFiles(path))
    stored = disk.load(MEMBERS)
    service = ConfigurationService("a")
    if stored.snapshot is not None:
        service.handle(Restored(stored.snapshot), 0.0)
    replica = Replica("a", stored, 1, 0.0)
    for output in replica.handle(Tick(), 1.0):
        if isinstance(output, Committed):
            service.handle(output, 1.0)
    elapsed_s = time.perf_counter() - started
    disk.close()
    if replica.commit_index < last_index:
        raise RuntimeError(f"recovered {replica.commit_index} of {last_index} entries")
    return elapsed_s
