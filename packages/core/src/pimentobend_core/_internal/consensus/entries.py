"""Define what the replicated log stores."""

from typing import NamedTuple

from pimentobend_core._internal.consensus.members import Members


class Entry(NamedTuple):
    """Hold one place of the log.

    An entry carries a command, or changed members, or neither when a new
    leader opens its term.
    """

    term: int
    log_index: int
    command: bytes
    members: Members | None = None

    @property
    def is_command(self) -> bool:
        """Say whether a state machine has to apply the entry."""
        return bool(self.command)


class Snapshot(NamedTuple):
    """Stand for all entries up to ``log_index``."""

    term: int
    log_index: int
    members: Members
    state: bytes


class BaseRecord(NamedTuple):
    """Open a log that continues after ``log_index``."""

    term: int
    log_index: int
    members: Members


class TermRecord(NamedTuple):
    """Store the term and the vote given in it."""

    term: int
    voted_for: str | None


class EntryRecord(NamedTuple):
    """Store an entry in place of all stored ones from its index on."""

    entry: Entry


Record = BaseRecord | TermRecord | EntryRecord


class StoredState(NamedTuple):
    """Hold what a replica finds in its data folder at its start."""

    term: int
    voted_for: str | None
    base: BaseRecord
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


def fresh_state(members: Members) -> StoredState:
    """Return the state of a replica that has stored nothing yet."""
    return StoredState(0, None, BaseRecord(0, 0, members), (), None)
