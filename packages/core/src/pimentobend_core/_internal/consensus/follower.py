"""Follow a leader: append its entries and install its snapshots."""

from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import InstallSnapshot
from pimentobend_core._internal.consensus.messages import SnapshotReply
from pimentobend_core._internal.consensus.state import ReplicaState


class Follower:
    """Handles the entries and snapshot chunks that the leader sends."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._received = bytearray()
        # Leader's term and last log index of the snapshot that is being received.
        self._snapshot_id: tuple[int, int] | None = None

    def append(self, sender: str, message: AppendEntries) -> None:
        """Append entries if this log has the entry before them.

        Otherwise the reply names the index from which the leader should retry.
        """
        state = self._state
        if state.log.term_at(message.prev_index) != message.prev_term:
            if message.prev_index <= state.commit_index:
                # The leader has the same committed entries: continue after them.
                self._reply(sender, message, True, state.commit_index)
                return
            self._reply(sender, message, False, self._last_possible_match(message))
            return
        state.append(self._new_entries(message.entries))
        matching = message.prev_index + len(message.entries)
        state.commit(min(message.commit_index, matching))
        self._reply(sender, message, True, matching)

    def install(self, sender: str, message: InstallSnapshot) -> None:
        """Keep one chunk, and install the snapshot once all chunks have arrived."""
        state = self._state
        if message.last_index <= state.commit_index:
            self._reply_snapshot(sender, message, message.total_bytes, is_done=True)
            return
        snapshot_id = (message.term, message.last_index)
        if self._snapshot_id != snapshot_id:
            self._snapshot_id = snapshot_id
            self._received.clear()
        if message.offset_bytes == len(self._received):
            self._received += message.chunk
        is_done = len(self._received) >= message.total_bytes
        if is_done:
            self._finish_snapshot(message)
        offset_bytes = message.total_bytes if is_done else len(self._received)
        self._reply_snapshot(sender, message, offset_bytes, is_done=is_done)

    def _finish_snapshot(self, message: InstallSnapshot) -> None:
        state = self._state
        content = bytes(self._received)
        self._received.clear()
        self._snapshot_id = None
        if state.log.term_at(message.last_index) == message.last_term:
            state.commit(message.last_index)
            return
        state.install(
            Snapshot(message.last_term, message.last_index, message.members, content)
        )

    def _new_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        for position, entry in enumerate(entries):
            if self._state.log.term_at(entry.log_index) != entry.term:
                return entries[position:]
        return ()

    def _last_possible_match(self, message: AppendEntries) -> int:
        """Return the last log index at which the leader's log may match this one.

        All entries of the term that conflicts at ``prev_index`` are skipped.
        """
        log = self._state.log
        if message.prev_index > log.last_index:
            return log.last_index
        conflicting = log.term_at(message.prev_index)
        index = message.prev_index - 1
        while index > self._state.commit_index and log.term_at(index) == conflicting:
            index -= 1
        return index

    def _reply(
        self, sender: str, message: AppendEntries, is_accepted: bool, last_index: int
    ) -> None:
        reply = AppendReply(self._state.term, is_accepted, last_index, message.sent_at)
        self._state.send(sender, reply)

    def _reply_snapshot(
        self,
        sender: str,
        message: InstallSnapshot,
        offset_bytes: int,
        *,
        is_done: bool,
    ) -> None:
        reply = SnapshotReply(
            self._state.term,
            message.last_index,
            offset_bytes,
            is_done,
            message.sent_at,
        )
        self._state.send(sender, reply)
