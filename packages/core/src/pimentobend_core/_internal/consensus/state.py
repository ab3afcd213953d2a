"""State that a replica shares with its election, leader and follower."""

import enum
import random

from pimentobend_core._internal.consensus.constants import ELECTION_MAX_S
from pimentobend_core._internal.consensus.constants import ELECTION_MIN_S
from pimentobend_core._internal.consensus.constants import ELECTION_RETRY_MAX_S
from pimentobend_core._internal.consensus.constants import ELECTION_RETRY_MIN_S
from pimentobend_core._internal.consensus.constants import FIRST_ELECTION_MAX_S
from pimentobend_core._internal.consensus.constants import FIRST_ELECTION_MIN_S
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.exceptions import ConsensusError
from pimentobend_core._internal.consensus.log import Log
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import MembersChanged
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import Persist
from pimentobend_core._internal.consensus.messages import PersistSnapshot
from pimentobend_core._internal.consensus.messages import ReplicaOutput
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.consensus.messages import Send


class Role(enum.Enum):
    """The current role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Term, vote, log and role of a replica, and its outputs for one message."""

    def __init__(
        self, replica_id: str, stored: StoredState, rng: random.Random, now: float
    ) -> None:
        self.replica_id = replica_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = Log(stored.base, stored.entries)
        self.snapshot = stored.snapshot
        self.commit_index = stored.snapshot.log_index if stored.snapshot else 0
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        # When the last message from a leader arrived; never before the process started.
        self.leader_heard_at = float("-inf")
        self.election_at = now
        self._rng = rng
        self._outputs: list[ReplicaOutput] = []
        if not self.is_only_voter:
            wait_s = self._rng.uniform(FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)
            self.election_at = now + wait_s

    @property
    def members(self) -> Members:
        """Return the latest members in the log, committed or not."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.replica_id in self.members.voter_ids

    @property
    def may_campaign(self) -> bool:
        """Return whether this replica may start an election.

        A voter that is being removed may until its removal is committed.
        """
        committed = self.log.members_at(self.commit_index)
        return self.is_voter or self.replica_id in committed.voter_ids

    @property
    def is_only_voter(self) -> bool:
        """Return whether this replica is the only voter."""
        return self.members.voter_ids == {self.replica_id}

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of the other members."""
        members = self.members.all
        ids = (member.replica_id for member in members)
        return tuple(peer for peer in ids if peer != self.replica_id)

    def emit(self, output: ReplicaOutput) -> None:
        """Queue an output for ``take_outputs``."""
        self._outputs.append(output)

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Queue a message to another replica."""
        self.emit(Send(recipient, message))

    def take_outputs(self) -> tuple[ReplicaOutput, ...]:
        """Return the queued outputs and clear the queue."""
        outputs = tuple(self._outputs)
        self._outputs.clear()
        return outputs

    def restart_election_timer(self, now: float) -> None:
        """Set the next election after a random timeout."""
        self.election_at = now + self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)

    def restart_retry_timer(self, now: float) -> None:
        """Set the next election after a shorter random timeout."""
        wait_s = self._rng.uniform(ELECTION_RETRY_MIN_S, ELECTION_RETRY_MAX_S)
        self.election_at = now + wait_s

    def set_term(self, term: int, voted_for: str | None) -> None:
        """Set and persist the term and the vote given in it."""
        self.term = term
        self.voted_for = voted_for
        self.emit(Persist((TermRecord(term, voted_for),)))

    def set_leader(self, leader_id: str | None) -> None:
        """Set the known leader, and report it if it changed."""
        if leader_id != self.leader_id:
            self.leader_id = leader_id
            self.emit(LeaderChanged(self.term, leader_id))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries; they replace all from the index of the first one on."""
        if not entries:
            return
        members = self.members
        if entries[0].log_index <= self.log.last_index:
            self._check_uncommitted(entries[0])
            self.log.truncate(entries[0].log_index)
        for entry in entries:
            self.log.append(entry)
        self.emit(Persist(tuple(EntryRecord(entry) for entry in entries)))
        if self.members != members:
            self.emit(MembersChanged(self.members))

    def _check_uncommitted(self, entry: Entry) -> None:
        if entry.log_index <= self.commit_index:
            raise ConsensusError(
                "leader sent an entry that conflicts with a committed one",
                context=f"term {entry.term}, index {entry.log_index}",
            )

    def commit(self, log_index: int) -> None:
        """Advance the commit index and emit the newly committed entries."""
        if log_index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, log_index)
        self.commit_index = log_index
        self.emit(Committed(entries))

    def compact(self, snapshot: Snapshot, retained: int) -> None:
        """Store a snapshot and drop the entries in it except the last ``retained``."""
        self.snapshot = snapshot
        self.log.compact(snapshot.log_index - retained)
        self.emit(PersistSnapshot(snapshot, self.records()))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.log.reset(BaseRecord(snapshot.term, snapshot.log_index, snapshot.members))
        self.commit_index = snapshot.log_index
        self.emit(PersistSnapshot(snapshot, self.records()))
        self.emit(Restored(snapshot))
        self.emit(MembersChanged(self.members))

    def records(self) -> tuple[Record, ...]:
        """Return the records that make up the stored log."""
        base = self.log.base
        entries = self.log.between(base.log_index + 1, self.log.last_index)
        return (
            base,
            TermRecord(self.term, self.voted_for),
            *(EntryRecord(entry) for entry in entries),
        )
