"""Hold what the parts of a replica share."""

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
    """Name what a replica does at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Own term, vote, log and the outputs of the message at hand."""

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
        self.heard_at = float("-inf")  # when a leader was heard in this life
        self.election_at = now
        self._rng = rng
        self._outputs: list[ReplicaOutput] = []
        if not self.is_only_voter:
            wait_s = self._rng.uniform(FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)
            self.election_at = now + wait_s

    @property
    def members(self) -> Members:
        """Return the members in force."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Say whether this replica votes."""
        return self.replica_id in self.members.voter_ids

    @property
    def may_stand(self) -> bool:
        """Say whether this replica votes, or would until its removal commits."""
        committed = self.log.members_at(self.commit_index)
        return self.is_voter or self.replica_id in committed.voter_ids

    @property
    def is_only_voter(self) -> bool:
        """Say whether this replica's vote is all that is needed."""
        return self.members.voter_ids == {self.replica_id}

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of the other members."""
        members = self.members.all
        ids = (member.replica_id for member in members)
        return tuple(peer for peer in ids if peer != self.replica_id)

    def emit(self, output: ReplicaOutput) -> None:
        """Add an output."""
        self._outputs.append(output)

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Add a message to another replica."""
        self.emit(Send(recipient, message))

    def take_outputs(self) -> tuple[ReplicaOutput, ...]:
        """Return the outputs and forget them."""
        outputs = tuple(self._outputs)
        self._outputs.clear()
        return outputs

    def restart_election_timer(self, now: float) -> None:
        """Wait for a random time before the next election."""
        self.election_at = now + self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)

    def restart_retry_timer(self, now: float) -> None:
        """Wait for a shorter random time before an election is repeated."""
        wait_s = self._rng.uniform(ELECTION_RETRY_MIN_S, ELECTION_RETRY_MAX_S)
        self.election_at = now + wait_s

    def set_term(self, term: int, voted_for: str | None) -> None:
        """Store a term and the vote given in it."""
        self.term = term
        self.voted_for = voted_for
        self.emit(Persist((TermRecord(term, voted_for),)))

    def set_leader(self, leader_id: str | None) -> None:
        """Report a leader that this replica did not know."""
        if leader_id != self.leader_id:
            self.leader_id = leader_id
            self.emit(LeaderChanged(self.term, leader_id))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Store entries in place of all from the first one's index on."""
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
                "a leader contradicts a committed entry",
                context=f"term {entry.term}, index {entry.log_index}",
            )

    def commit(self, log_index: int) -> None:
        """Give out the entries up to ``log_index`` that are not given out yet."""
        if log_index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, log_index)
        self.commit_index = log_index
        self.emit(Committed(entries))

    def compact(self, snapshot: Snapshot, retained: int) -> None:
        """Store a snapshot of applied entries, keeping ``retained`` of them."""
        self.snapshot = snapshot
        self.log.compact(snapshot.log_index - retained)
        self.emit(PersistSnapshot(snapshot, self.records()))

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot in place of the whole log."""
        self.snapshot = snapshot
        self.log.reset(BaseRecord(snapshot.term, snapshot.log_index, snapshot.members))
        self.commit_index = snapshot.log_index
        self.emit(PersistSnapshot(snapshot, self.records()))
        self.emit(Restored(snapshot))
        self.emit(MembersChanged(self.members))

    def records(self) -> tuple[Record, ...]:
        """Return the records of which the stored log has to consist."""
        base = self.log.base
        entries = self.log.between(base.log_index + 1, self.log.last_index)
        return (
            base,
            TermRecord(self.term, self.voted_for),
            *(EntryRecord(entry) for entry in entries),
        )
