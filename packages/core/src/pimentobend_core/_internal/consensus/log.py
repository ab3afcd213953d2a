"""Store the entries of the replicated log that have not been compacted."""

from pimentobend_core._internal.consensus.constants import RETAINED_BYTES
from pimentobend_core._internal.consensus.constants import RETAINED_ENTRIES
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.members import Members


class Log:
    """The entries that follow a base position, and the members of the cluster.

    The base is the position of the last compacted entry.
    """

    def __init__(self, base: BaseRecord, entries: tuple[Entry, ...] = ()) -> None:
        self._base = base
        self._entries: list[Entry] = []
        # Each change of members with the index of its entry, oldest first.
        self._members: list[tuple[int, Members]] = []
        self.reset(base)
        for entry in entries:
            self.append(entry)

    @property
    def base(self) -> BaseRecord:
        """Return the position of the last compacted entry."""
        return self._base

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base.log_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base.term

    @property
    def members(self) -> Members:
        """Return the latest members in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the latest members."""
        return self._members[-1][0]

    def term_at(self, log_index: int) -> int | None:
        """Return the term at an index, or None if the log has no entry there."""
        if log_index == self._base.log_index:
            return self._base.term
        if not self._base.log_index < log_index <= self.last_index:
            return None
        return self.entry(log_index).term

    def entry(self, log_index: int) -> Entry:
        """Return the entry at an index, which must be in the log."""
        return self._entries[log_index - self._base.log_index - 1]

    def members_at(self, log_index: int) -> Members:
        """Return the members in force at an index."""
        found = self._members[0][1]
        for appended_at, members in self._members:
            if appended_at <= log_index:
                found = members
        return found

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self._base.log_index - 1
        return tuple(self._entries[start : last - self._base.log_index])

    def batch(self, first: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on until they exceed ``limit_bytes``.

        At least one is returned if the log has any.
        """
        start = first - self._base.log_index - 1
        size_bytes = 0
        end = start
        while end < len(self._entries) and size_bytes < limit_bytes:
            size_bytes += len(self._entries[end].command)
            end += 1
        return tuple(self._entries[start:end])

    def count_retained(self, last: int) -> int:
        """Return how many entries up to ``last`` a compaction leaves."""
        count = size_bytes = 0
        for log_index in range(last, self._base.log_index, -1):
            size_bytes += len(self.entry(log_index).command)
            if count >= RETAINED_ENTRIES or size_bytes > RETAINED_BYTES:
                break
            count += 1
        return count

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        self._entries.append(entry)
        if entry.members is not None:
            self._members.append((entry.log_index, entry.members))

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        del self._entries[first - self._base.log_index - 1 :]
        while self._members[-1][0] >= first:
            self._members.pop()

    def compact(self, log_index: int) -> None:
        """Drop the entries up to and including ``log_index``."""
        if log_index <= self._base.log_index:
            return
        entries = self.between(log_index + 1, self.last_index)
        term = self.entry(log_index).term
        self.reset(BaseRecord(term, log_index, self.members_at(log_index)))
        for entry in entries:
            self.append(entry)

    def reset(self, base: BaseRecord) -> None:
        """Drop all entries; the next one appended must follow ``base``."""
        self._base = base
        self._entries = []
        self._members = [(base.log_index, base.members)]
