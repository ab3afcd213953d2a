"""Define the messages that a replica takes and gives."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.members import Members


class RequestVote(NamedTuple):
    """Ask for a vote, or with ``is_pre_vote`` whether one would be given."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


class VoteReply(NamedTuple):
    """Answer ``RequestVote``; a granted pre-vote names the asked term."""

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

    ``last_index`` is the last matching entry of an accepted append, or the
    entry after which the leader should try again.
    """

    term: int
    is_accepted: bool
    last_index: int
    sent_at: float


class InstallSnapshot(NamedTuple):
    """Send a piece of a snapshot's state; ``total_bytes`` is the whole state's."""

    term: int
    last_index: int
    last_term: int
    members: Members
    offset_bytes: int
    total_bytes: int
    chunk: bytes
    sent_at: float


class SnapshotReply(NamedTuple):
    """Ask for the piece at ``offset_bytes``; ``is_done`` when none is missing."""

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
    """Hand over a message of another replica."""

    sender: str
    message: PeerMessage


class Tick(NamedTuple):
    """Let time pass; due at ``Replica.next_tick``."""


class Proposal(NamedTuple):
    """Ask for a command to be committed; the id comes back in ``Proposed``."""

    proposal_id: int
    command: bytes


class Propose(NamedTuple):
    """Propose commands that are stored with one sync."""

    proposals: tuple[Proposal, ...]


class ChangeMembers(NamedTuple):
    """Change one member of the cluster through the log."""

    proposal_id: int
    change: MemberChange


class ReadIndex(NamedTuple):
    """Ask up to which index the state must be applied to be read."""

    read_id: int


class Compact(NamedTuple):
    """Replace the entries up to ``log_index`` by the state after them."""

    log_index: int
    state: bytes


ReplicaInput = Received | Tick | Propose | ChangeMembers | ReadIndex | Compact


class Outcome(enum.Enum):
    """Name how a proposal or a read ended."""

    COMMITTED = "committed"
    NOT_LEADER = "not-leader"  # not run; another replica leads
    NO_MAJORITY = "no-majority"  # not run; no leader, or its lease has ended
    OVERLOADED = "overloaded"  # not run; too many proposals wait
    REJECTED = "rejected"  # not run; the change of members does not fit
    STORAGE = "storage"  # not run; the disk does not take it
    UNKNOWN = "unknown"  # leadership was lost before the outcome was known


class Persist(NamedTuple):
    """Store records; no output behind it may leave before they are synced."""

    records: tuple[Record, ...]


class PersistSnapshot(NamedTuple):
    """Store a snapshot and the records that the log then consists of.

    As with ``Persist``, no output behind it may leave before the sync.
    """

    snapshot: Snapshot
    records: tuple[Record, ...]


class Send(NamedTuple):
    """Send a message to another replica."""

    recipient: str
    message: PeerMessage


class Committed(NamedTuple):
    """Give entries to apply, in order and each once in a process' life."""

    entries: tuple[Entry, ...]


class Restored(NamedTuple):
    """Replace the applied state by a snapshot's."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """End a proposal; term and index are those of its entry, or 0."""

    proposal_id: int
    outcome: Outcome
    term: int = 0
    log_index: int = 0
    leader_id: str | None = None


class ReadReady(NamedTuple):
    """End a read request: read once ``log_index`` is applied."""

    read_id: int
    outcome: Outcome
    log_index: int = 0
    leader_id: str | None = None


class LeaderChanged(NamedTuple):
    """Report the leader that this replica knows, if any."""

    term: int
    leader_id: str | None


class MembersChanged(NamedTuple):
    """Report the members in force, whose addresses the links need."""

    members: Members


ReplicaOutput = (
    Persist
    | PersistSnapshot
    | Send
    | Committed
    | Restored
    | Proposed
    | ReadReady
    | LeaderChanged
    | MembersChanged
)
