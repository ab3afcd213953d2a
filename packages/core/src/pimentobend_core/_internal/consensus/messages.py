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
    """Answer ``RequestVote``.

    The term is the sender's own, or the requested one if a pre-vote is granted.
    """

    term: int
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Replicate entries, or act as a heartbeat if there are none.

    ``prev_index`` and ``prev_term`` are of the entry before the first one.
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
    """Send the chunk at ``offset_bytes`` of a snapshot's state.

    The whole state has ``total_bytes``. ``last_index`` and ``last_term`` are of
    the last entry that the snapshot covers.
    """

    term: int
    last_index: int
    last_term: int
    members: Members
    offset_bytes: int
    total_bytes: int
    chunk: bytes
    sent_at: float


class SnapshotReply(NamedTuple):
    """Ask for the chunk at ``offset_bytes``, or report that all have arrived."""

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
    """Start an election or send heartbeats if they are due.

    The next tick is due at ``Replica.next_tick``.
    """


class Proposal(NamedTuple):
    """A command to commit; its id comes back in ``ProposalResult``."""

    proposal_id: int
    command: bytes


class Propose(NamedTuple):
    """Propose commands, which are stored with one sync."""

    proposals: tuple[Proposal, ...]


class ChangeMembers(NamedTuple):
    """Propose an entry that changes one member of the cluster."""

    proposal_id: int
    change: MemberChange


class ReadIndex(NamedTuple):
    """Ask which entries must be applied before the state may be read."""

    read_id: int


class Compact(NamedTuple):
    """Replace the entries up to ``log_index`` by a snapshot of the state."""

    log_index: int
    state: bytes


ReplicaInput = Received | Tick | Propose | ChangeMembers | ReadIndex | Compact


class Outcome(enum.Enum):
    """The outcome of a proposal or a read."""

    COMMITTED = "committed"
    NOT_LEADER = "not-leader"  # not committed; another replica leads
    NO_MAJORITY = "no-majority"  # not committed; no leader, or its lease has ended
    OVERLOADED = "overloaded"  # not committed; too many proposals are pending
    REJECTED = "rejected"  # not committed; the command or change is not allowed
    STORAGE = "storage"  # not committed; the disk refused the write
    UNKNOWN = "unknown"  # leadership was lost before the outcome was known


class Persist(NamedTuple):
    """Store records; all later outputs must wait until they are synced."""

    records: tuple[Record, ...]


class PersistSnapshot(NamedTuple):
    """Replace the stored data by a snapshot and the records of the log.

    As with ``Persist``, all later outputs must wait for the sync.
    """

    snapshot: Snapshot
    records: tuple[Record, ...]


class Send(NamedTuple):
    """Send a message to another replica."""

    recipient: str
    message: PeerMessage


class Committed(NamedTuple):
    """Deliver committed entries to apply, in order.

    Each entry is delivered once between two starts of the process.
    """

    entries: tuple[Entry, ...]


class Restored(NamedTuple):
    """Replace the applied state by that of a snapshot."""

    snapshot: Snapshot


class ProposalResult(NamedTuple):
    """Report the outcome of a proposal.

    ``term`` and ``log_index`` are of its entry, or 0 if it has none.
    """

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
    """Report the leader that this replica now follows; None if it knows none."""

    term: int
    leader_id: str | None


class MembersChanged(NamedTuple):
    """Report the new members; the links between replicas need their addresses."""

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
