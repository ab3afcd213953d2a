"""Track how far a leader's peer has copied the log."""

import enum

from pimentobend_core._internal.consensus.entries import Snapshot


class Mode(enum.Enum):
    """Name how a peer is fed."""

    PROBE = "probe"  # one message at a time, until a place matches
    STREAM = "stream"
    SNAPSHOT = "snapshot"


class Progress:
    """Own what a leader knows of one peer."""

    def __init__(self, next_index: int, acked_at: float) -> None:
        self.mode = Mode.PROBE
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = acked_at  # when the last acknowledged message was sent
        self.is_waiting = False
        self.snapshot: Snapshot | None = None  # the one being sent
        self.offset_bytes = 0

    def accept(self, last_index: int) -> bool:
        """Take in that the log matches up to an index; return whether it is news."""
        self.is_waiting = False
        self.mode = Mode.STREAM
        self.next_index = max(self.next_index, last_index + 1)
        if last_index <= self.match_index:
            return False
        self.match_index = last_index
        return True

    def reject(self, last_index: int) -> bool:
        """Go back to an index; return whether the peer has to be asked again."""
        next_index = max(self.match_index, last_index) + 1
        if next_index >= self.next_index:
            return False
        self.mode = Mode.PROBE
        self.is_waiting = False
        self.next_index = next_index
        return True

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Feed the peer a snapshot from its first byte."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = snapshot
        self.offset_bytes = 0

    def end_snapshot(self) -> None:
        """Go on with the entries behind the snapshot, which the peer has."""
        if self.snapshot is None:
            return
        log_index = self.snapshot.log_index
        self.snapshot = None
        self.next_index = log_index + 1
        self.accept(log_index)
