"""Define the input and output messages of a replica."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members


class RequestVote(NamedTuple):
    """Ask for a vote, or with ``is_pre_vote`` whether one would be granted."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


class VoteReply(NamedTuple):
    """Answer ``RequestVote``; a granted pre-vote repeats the requested term."""

    term: int
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Replicate entries; without entries, a heartbeat.

    ``sent_at`` is in seconds of the leader's clock and comes back in the reply.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


class AppendReply(NamedTuple):
    """Answer ``AppendEntries``.

    ``last_index`` is the last matching index if the append is accepted, and
    otherwise the index after which the leader should retry.
    """

    term: int
    is_accepted: bool
    last_index: int
    sent_at: float


class InstallSnapshot(NamedTuple):
    """Send a chunk of a snapshot's state, which has ``total_bytes`` in all."""

    term: int
    last_index: int
    last_term: int
    members: Members
    offset_bytes: int
    total_bytes: int
    chunk: bytes
    sent_at: float


class SnapshotReply(NamedTuple):
    """Ask for the chunk at ``offset_bytes``; ``is_done`` once all have arrived."""

    term: int
    last_index: int
    offset_bytes: int
    is_done: bool
    sent_at: float


PeerMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
)


class Received(NamedTuple):
    """Deliver a message from another replica."""

    sender: str
    message: PeerMessage


class Tick(NamedTuple):
    """Run what is due at this time; the next is due at ``Replica.next_tick``."""


class Proposal(NamedTuple):
    """A command to commit; its id comes back in ``ProposalResult``."""

    proposal_id: int
    command: bytes


class Propose(NamedTuple):
    """Propose commands, which are stored with one sync."""

    proposals: tuple[Proposal, ...]


class ChangeMembers(NamedTuple):
    """Change one member of the cluster through the log."""

    proposal_id: int
    change: MemberChange


class ReadIndex(NamedTuple):
    """Ask up to which index entries must be applied before a read."""

    read_id: int


class Compact(NamedTuple):
    """Replace the entries up to ``log_index`` by a snapshot of the state."""

    log_index: int
    state: bytes


ReplicaInput = Received | Tick | Propose | ChangeMembers | ReadIndex | Compact


class Outcome(enum.Enum):
    """The outcome of a proposal or a read."""

    COMMITTED = "committed"
    NOT_LEADER = "not-leader"  # not run; another replica leads
    NO_MAJORITY = "no-majority"  # not run; no leader, or its lease has ended
    OVERLOADED = "overloaded"  # not run; too many proposals are pending
    REJECTED = "rejected"  # not run; the command or change is not allowed
    STORAGE = "storage"  # not run; the disk refused the write
    UNKNOWN = "unknown"  # leadership was lost before the outcome was known


class Persist(NamedTuple):
    """Store records; the outputs after it must wait until they are synced."""

    records: tuple[Record, ...]


class PersistSnapshot(NamedTuple):
    """Replace the stored data by a snapshot and the records of the log.

    As with ``Persist``, the outputs after it must wait for the sync.
    """

    snapshot: Snapshot
    records: tuple[Record, ...]


class Send(NamedTuple):
    """Send a message to another replica."""

    recipient: str
    message: PeerMessage


class Committed(NamedTuple):
    """Deliver entries to apply, in order, each once per run of the process."""

    entries: tuple[Entry, ...]


class Restored(NamedTuple):
    """Replace the applied state by that of a snapshot."""

    snapshot: Snapshot


class ProposalResult(NamedTuple):
    """Report the outcome of a proposal, with its entry's term and index or 0."""

    proposal_id: int
    outcome: Outcome
    term: int = 0
    log_index: int = 0
    leader_id: str | None = None


class ReadReady(NamedTuple):
    """Answer ``ReadIndex``: the state may be read once ``log_index`` is applied."""

    read_id: int
    outcome: Outcome
    log_index: int = 0
    leader_id: str | None = None


class LeaderChanged(NamedTuple):
    """Report a change of the leader that this replica knows, if any."""

    term: int
    leader_id: str | None


class MembersChanged(NamedTuple):
    """Report changed members, whose addresses the links need."""

    members: Members


ReplicaOutput = (
    Persist
    | PersistSnapshot
    | Send
    | Committed
    | Restored
    | ProposalResult
    | ReadReady
    | LeaderChanged
    | MembersChanged
)
