"""Define the entries, snapshots and records of the replicated log."""

from typing import NamedTuple

from pimentobend_core._internal.consensus.members import Members


class Entry(NamedTuple):
    """One entry of the replicated log.

    An entry carries a command or changed members. A new leader appends one
    with neither at the start of its term.
    """

    term: int
    log_index: int
    command: bytes
    members: Members | None = None

    @property
    def is_command(self) -> bool:
        """Return whether the entry has a command to apply."""
        return bool(self.command)


class Snapshot(NamedTuple):
    """The applied state after all entries up to ``log_index``."""

    term: int
    log_index: int
    members: Members
    state: bytes


class BaseRecord(NamedTuple):
    """The position of the last compacted entry, and the members at that position.

    It is the first record of a stored log; the entries after ``log_index`` follow.
    """

    term: int
    log_index: int
    members: Members


class TermRecord(NamedTuple):
    """The current term and the vote given in it."""

    term: int
    voted_for: str | None


class EntryRecord(NamedTuple):
    """An entry; it replaces all stored entries with the same or a higher index."""

    entry: Entry


Record = BaseRecord | TermRecord | EntryRecord


class StoredState(NamedTuple):
    """What a replica loads from its data folder at start."""

    term: int
    voted_for: str | None
    base: BaseRecord
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


def fresh_state(members: Members) -> StoredState:
    """Return the state of a replica that has stored nothing yet."""
    return StoredState(0, None, BaseRecord(0, 0, members), (), None)
