"""Act as leader: replicate entries, commit them by majority, renew the lease."""

import math
from typing import NamedTuple

from pimentobend_core._internal.consensus.constants import APPEND_BYTES
from pimentobend_core._internal.consensus.constants import CAUGHT_UP_ENTRIES
from pimentobend_core._internal.consensus.constants import HEARTBEAT_S
from pimentobend_core._internal.consensus.constants import LEARNER_HEARTBEAT_S
from pimentobend_core._internal.consensus.constants import LEASE_S
from pimentobend_core._internal.consensus.constants import SNAPSHOT_CHUNK_BYTES
from pimentobend_core._internal.consensus.constants import WINDOW_ENTRIES
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.members import change_members
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import InstallSnapshot
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import SnapshotReply
from pimentobend_core._internal.consensus.progress import Progress
from pimentobend_core._internal.consensus.progress import ReplicationMode
from pimentobend_core._internal.consensus.state import ReplicaState


class _Read(NamedTuple):
    """A read that waits until a majority confirms the leader."""

    read_id: int
    asked_at: float  # seconds of the clock
    log_index: int  # commit index at that time


class Leader:
    """Replicates the log to the peers and answers reads during one term."""

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._peers: dict[str, Progress] = {}
        self._heartbeat_at = now + HEARTBEAT_S
        self._learner_heartbeat_at = now + LEARNER_HEARTBEAT_S
        self._elected_at = now
        self._term_start_index = state.log.last_index + 1
        self._reads: list[_Read] = []
        self.append((Entry(state.term, self._term_start_index, b""),), now)

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._state.commit_index >= self._term_start_index

    @property
    def next_tick(self) -> float:
        """Return when ``tick`` is due, in seconds of the clock."""
        return self._heartbeat_at

    def lease_ends_at(self, now: float) -> float:
        """Return the time until which no other replica can become leader."""
        acked_at = {peer: each.acked_at for peer, each in self._peers.items()}
        acked_at[self._state.replica_id] = now
        return self._quorum_time(acked_at) + LEASE_S

    def _quorum_time(self, acked_at: dict[str, float]) -> float:
        """Return the latest time since which a majority has followed this leader.

        While its own change of members is not committed, a majority without the change
        counts as well: it shares a voter with every majority that could elect another
        leader.
        """
        state = self._state
        times = [state.members.quorum_value(acked_at)]
        is_changing = state.log.members_index > state.commit_index
        if is_changing and self.has_committed_in_term:
            before = state.log.members_at(state.commit_index)
            removed = dict.fromkeys(before.voter_ids, -math.inf)
            times.append(before.quorum_value(removed | acked_at))
        return max(times)

    def tick(self, now: float) -> None:
        """Send the heartbeats that are due."""
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + HEARTBEAT_S
        are_learners_due = now >= self._learner_heartbeat_at
        if are_learners_due:
            self._learner_heartbeat_at = now + LEARNER_HEARTBEAT_S
        for peer_id, progress in self._peers.items():
            if are_learners_due or not self._is_idle_learner(peer_id, progress):
                self._send_next(peer_id, now, is_heartbeat=True)

    def read(self, read_id: int, now: float) -> None:
        """Answer a read once a majority confirms that this replica leads at ``now``.

        The lease alone is not enough: the local clock may have stopped while
        another leader was elected.
        """
        self._reads.append(_Read(read_id, now, self._state.commit_index))
        self._heartbeat_at = now
        self.tick(now)
        self._finish_reads(now)

    def refuse_reads(self) -> None:
        """Refuse the reads that no majority has confirmed yet."""
        for read in self._reads:
            self._state.emit(ReadReady(read.read_id, Outcome.NO_MAJORITY))
        self._reads.clear()

    def append(self, entries: tuple[Entry, ...], now: float) -> None:
        """Append entries of this term and replicate them."""
        self._state.append(entries)
        self._update_peers(now)
        for peer_id, progress in self._peers.items():
            if progress.snapshot is None:
                self._send_next(peer_id, now)
        self._advance_commit(now)

    def changed_members(self, change: MemberChange) -> Members | None:
        """Return the members after a change, or None if it is not allowed now.

        An entry of this term and the previous change must be committed, and a
        learner must have caught up before it is promoted.
        """
        if not self.has_committed_in_term:
            return None
        if self._state.log.members_index > self._state.commit_index:
            return None
        changed = change_members(self._state.members, change)
        if changed is None or changed == self._state.members:
            return changed
        is_promotion = change.action is MemberAction.PROMOTE
        if is_promotion and not self.has_caught_up(change.replica_id):
            return None
        return changed

    def on_reply(
        self, sender: str, reply: AppendReply | SnapshotReply, now: float
    ) -> None:
        """Handle a peer's reply, which also extends the lease."""
        progress = self._peers.get(sender)
        if progress is None:
            return
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        self._finish_reads(now)
        if isinstance(reply, SnapshotReply):
            self._on_snapshot_reply(sender, progress, reply, now)
        elif progress.snapshot is None:
            self._on_append_reply(sender, progress, reply, now)

    def peers(self) -> tuple[tuple[str, int, str], ...]:
        """Return id, matching index and mode of each peer."""
        return tuple(
            (peer_id, each.match_index, each.mode.value)
            for peer_id, each in self._peers.items()
        )

    def ack_age_s(self, now: float) -> dict[str, float]:
        """Return the seconds since each peer last acknowledged a message."""
        return {peer: now - each.acked_at for peer, each in self._peers.items()}

    def _finish_reads(self, now: float) -> None:
        if not self._reads:
            return
        acked_at = {peer: each.acked_at for peer, each in self._peers.items()}
        acked_at[self._state.replica_id] = now
        confirmed_at = self._state.members.quorum_value(acked_at)
        while self._reads and self._reads[0].asked_at <= confirmed_at:
            read = self._reads.pop(0)
            self._state.emit(ReadReady(read.read_id, Outcome.COMMITTED, read.log_index))

    def has_caught_up(self, peer_id: str) -> bool:
        """Return whether a peer is at most ``CAUGHT_UP_ENTRIES`` behind the commit.

        A peer without any matching entry has not caught up.
        """
        progress = self._peers.get(peer_id)
        required_index = self._state.commit_index - CAUGHT_UP_ENTRIES
        return progress is not None and progress.match_index >= max(1, required_index)

    def _on_append_reply(
        self, sender: str, progress: Progress, reply: AppendReply, now: float
    ) -> None:
        if not reply.is_accepted:
            if progress.reject(reply.last_index):
                self._send_next(sender, now)
            return
        if progress.accept(reply.last_index):
            self._advance_commit(now)
        if progress.next_index <= self._state.log.last_index:
            self._send_next(sender, now)

    def _on_snapshot_reply(
        self, sender: str, progress: Progress, reply: SnapshotReply, now: float
    ) -> None:
        snapshot = progress.snapshot
        if snapshot is None or reply.last_index != snapshot.log_index:
            return
        if reply.is_done:
            progress.end_snapshot()
            self._advance_commit(now)
            self._send_next(sender, now)
            return
        has_advanced = reply.offset_bytes > progress.offset_bytes
        progress.offset_bytes = reply.offset_bytes
        if has_advanced:
            self._send_next(sender, now)

    def _update_peers(self, now: float) -> None:
        peer_ids = self._state.peer_ids
        for peer_id in set(self._peers) - set(peer_ids):
            del self._peers[peer_id]
        for peer_id in peer_ids:
            if peer_id not in self._peers:
                next_index = self._state.log.last_index
                self._peers[peer_id] = Progress(next_index, self._elected_at)

    def _send_next(
        self, peer_id: str, now: float, *, is_heartbeat: bool = False
    ) -> None:
        progress = self._peers[peer_id]
        is_compacted = progress.next_index <= self._state.log.base.log_index
        if is_compacted and progress.snapshot is None and self._state.snapshot:
            progress.begin_snapshot(self._state.snapshot)
        if progress.snapshot is not None:
            self._send_snapshot_chunk(peer_id, progress, progress.snapshot, now)
        else:
            self._send_entries(peer_id, progress, now, is_heartbeat)

    def _send_entries(
        self, peer_id: str, progress: Progress, now: float, is_heartbeat: bool
    ) -> None:
        log = self._state.log
        entries: tuple[Entry, ...] = ()
        if progress.mode is ReplicationMode.PROBE:
            if progress.is_probe_pending and not is_heartbeat:
                return
            progress.is_probe_pending = True
            entries = log.batch(progress.next_index, APPEND_BYTES)
        elif progress.next_index - progress.match_index <= WINDOW_ENTRIES:
            entries = log.batch(progress.next_index, APPEND_BYTES)
        if not entries and not is_heartbeat and progress.mode is ReplicationMode.STREAM:
            return
        prev_index = progress.next_index - 1
        message = AppendEntries(
            self._state.term,
            prev_index,
            log.term_at(prev_index) or 0,
            entries,
            self._state.commit_index,
            now,
        )
        self._state.send(peer_id, message)
        if progress.mode is ReplicationMode.STREAM:
            progress.next_index += len(entries)

    def _send_snapshot_chunk(
        self, peer_id: str, progress: Progress, snapshot: Snapshot, now: float
    ) -> None:
        offset_bytes = progress.offset_bytes
        message = InstallSnapshot(
            self._state.term,
            snapshot.log_index,
            snapshot.term,
            snapshot.members,
            offset_bytes,
            len(snapshot.state),
            snapshot.state[offset_bytes : offset_bytes + SNAPSHOT_CHUNK_BYTES],
            now,
        )
        self._state.send(peer_id, message)

    def _is_idle_learner(self, peer_id: str, progress: Progress) -> bool:
        if peer_id in self._state.members.voter_ids:
            return False
        has_all_entries = progress.match_index == self._state.log.last_index
        return progress.mode is ReplicationMode.STREAM and has_all_entries

    def _advance_commit(self, now: float) -> None:
        state = self._state
        committed_before = state.commit_index
        matched = {peer: each.match_index for peer, each in self._peers.items()}
        matched[state.replica_id] = state.log.last_index
        log_index = int(state.members.quorum_value(matched))
        if state.log.term_at(log_index) == state.term:
            state.commit(log_index)
        if state.commit_index > committed_before:
            # The next heartbeat sends the new commit index to learners.
            self._learner_heartbeat_at = now
