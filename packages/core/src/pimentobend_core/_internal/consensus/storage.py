"""Rebuild a replica's stored state from its records."""

from collections.abc import Iterable

from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.exceptions import CorruptLogError
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members

# A restored cluster raises the term by more elections than any cluster has in its
# lifetime.
RESTART_TERMS = 1_000_000


def replay(records: Iterable[Record], snapshot: Snapshot | None) -> StoredState:
    """Return the state that the records and the snapshot describe.

    Raises ``CorruptLogError`` if entries are missing.
    """
    term = TermRecord(0, None)
    base: BaseRecord | None = None
    entries: list[Entry] = []
    for record in records:
        if isinstance(record, BaseRecord):
            base, entries = record, []
        elif isinstance(record, TermRecord):
            term = record
        elif base is None:
            raise CorruptLogError("stored log does not begin with a base record")
        else:
            _replay_entry(record.entry, base, entries)
    if base is None:
        raise CorruptLogError("stored log has no base record")
    state = StoredState(term.term, term.voted_for, base, tuple(entries), snapshot)
    return _reconcile_snapshot(state)


def _replay_entry(entry: Entry, base: BaseRecord, entries: list[Entry]) -> None:
    position = entry.log_index - base.log_index - 1
    if not 0 <= position <= len(entries):
        raise CorruptLogError(
            "stored entry does not follow the ones before it",
            context=f"index {entry.log_index}, log from {base.log_index}",
        )
    del entries[position:]
    entries.append(entry)


def _reconcile_snapshot(state: StoredState) -> StoredState:
    """Drop the entries that a crash left in place when a snapshot replaced them."""
    snapshot = state.snapshot
    base = state.base
    if snapshot is None:
        if base.log_index:
            raise CorruptLogError(
                "snapshot before the stored log is missing",
                context=f"log from {base.log_index}",
            )
        return state
    if snapshot.log_index < base.log_index:
        raise CorruptLogError(
            "snapshot ends before the stored log begins",
            context=f"snapshot {snapshot.log_index}, log from {base.log_index}",
        )
    if _term_at(state, snapshot.log_index) == snapshot.term:
        return state
    new_base = BaseRecord(snapshot.term, snapshot.log_index, snapshot.members)
    return state._replace(base=new_base, entries=())


def _term_at(state: StoredState, log_index: int) -> int | None:
    position = log_index - state.base.log_index - 1
    if position < 0:
        return state.base.term
    return state.entries[position].term if position < len(state.entries) else None


def restart_alone(stored: StoredState, member: Member) -> tuple[Record, ...]:
    """Return records that start a new cluster from a copy of a stored state.

    The only voter is ``member``. The term rises by ``RESTART_TERMS``, so that
    daemons that saw later versions of the lost cluster follow the new one.
    """
    members = Members((member,))
    entries = (entry._replace(members=None) for entry in stored.entries)
    return (
        stored.base._replace(members=members),
        TermRecord(stored.term + RESTART_TERMS, None),
        *(EntryRecord(entry) for entry in entries),
    )
