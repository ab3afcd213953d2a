"""Track how far a leader's peer has copied the log."""

import enum

from pimentobend_core._internal.consensus.entries import Snapshot


class ReplicationMode(enum.Enum):
    """How the leader sends the log to a peer."""

    PROBE = "probe"  # one message at a time, until its log matches at some index
    STREAM = "stream"  # further entries without waiting for replies
    SNAPSHOT = "snapshot"  # chunks of a snapshot, as the next entries are compacted


class Progress:
    """What a leader knows about one peer's log."""

    def __init__(self, next_index: int, acked_at: float) -> None:
        self.mode = ReplicationMode.PROBE
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = acked_at  # when the last acknowledged message was sent
        self.is_probe_pending = False  # a probe has no reply yet
        self.snapshot: Snapshot | None = None  # the snapshot being sent
        self.offset_bytes = 0  # start of the next chunk of the snapshot

    def accept(self, last_index: int) -> bool:
        """Record that the log matches up to an index; return whether that is new."""
        self.is_probe_pending = False
        self.mode = ReplicationMode.STREAM
        self.next_index = max(self.next_index, last_index + 1)
        if last_index <= self.match_index:
            return False
        self.match_index = last_index
        return True

    def reject(self, last_index: int) -> bool:
        """Go back to the index that a refusal names; return whether to send again."""
        next_index = max(self.match_index, last_index) + 1
        if next_index >= self.next_index:
            return False
        self.mode = ReplicationMode.PROBE
        self.is_probe_pending = False
        self.next_index = next_index
        return True

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Start to send a snapshot from its first byte."""
        self.mode = ReplicationMode.SNAPSHOT
        self.snapshot = snapshot
        self.offset_bytes = 0

    def end_snapshot(self) -> None:
        """Continue with the entries after the snapshot, which the peer now has."""
        if self.snapshot is None:
            return
        log_index = self.snapshot.log_index
        self.snapshot = None
        self.next_index = log_index + 1
        self.accept(log_index)
