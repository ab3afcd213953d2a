"""Run one replica of the log: elections, replication, proposals and reads."""

import random
from collections.abc import Mapping
from typing import assert_never

from pimentobend_core._internal.consensus.constants import COMMAND_BYTES
from pimentobend_core._internal.consensus.constants import PENDING_PROPOSALS
from pimentobend_core._internal.consensus.election import Election
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.follower import Follower
from pimentobend_core._internal.consensus.leader import Leader
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import InstallSnapshot
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import Received
from pimentobend_core._internal.consensus.messages import ReplicaInput
from pimentobend_core._internal.consensus.messages import ReplicaOutput
from pimentobend_core._internal.consensus.messages import RequestVote
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.messages import VoteReply
from pimentobend_core._internal.consensus.state import ReplicaState
from pimentobend_core._internal.consensus.state import Role
from pimentobend_core._internal.pipes import StatefulFilter


class Replica(StatefulFilter[ReplicaInput, ReplicaOutput]):
    """One replica of the replicated log, as follower, candidate or leader.

    It does no I/O. The caller stores what ``Persist`` and ``PersistSnapshot`` hold
    before it acts on the outputs after them.
    """

    def __init__(
        self, replica_id: str, stored: StoredState, seed: int, now: float
    ) -> None:
        rng = random.Random(f"{seed}/{replica_id}")
        self._state = ReplicaState(replica_id, stored, rng, now)
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._leader: Leader | None = None
        self._pending: dict[int, int] = {}  # proposal ids by log index

    @property
    def next_tick(self) -> float:
        """Return when the next ``Tick`` is due, in seconds of the clock."""
        if self._leader is not None:
            return self._leader.next_tick
        return self._state.election_at

    @property
    def commit_index(self) -> int:
        """Return the highest log index that is known to be committed."""
        return self._state.commit_index

    @property
    def state(self) -> ReplicaState:
        """Return the replica's state, which callers must not change."""
        return self._state

    def handle(self, message: ReplicaInput, now: float) -> tuple[ReplicaOutput, ...]:
        """Handle one message at ``now`` (seconds) and return the outputs."""
        self._check_lease(now)
        committed_before = self._state.commit_index
        match message:
            case Received():
                self._receive(message.sender, message.message, now)
            case Tick():
                self._tick(now)
            case Propose():
                self._propose(message.proposals, now)
            case ChangeMembers():
                self._change_members(message, now)
            case ReadIndex():
                self._read(message.read_id, now)
            case Compact():
                self._compact(message)
            case _:
                assert_never(message)
        if self._state.commit_index > committed_before:
            self._report_committed(now)
        return self._state.take_outputs()

    def ack_age_s(self, now: float) -> Mapping[str, float]:
        """Return the seconds since each peer's last reply; empty unless leading."""
        return {} if self._leader is None else self._leader.ack_age_s(now)

    def has_caught_up(self, replica_id: str) -> bool:
        """Return whether this replica leads and the peer's log is nearly complete."""
        return self._leader is not None and self._leader.has_caught_up(replica_id)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        state = self._state
        return {
            "replica_id": state.replica_id,
            "role": state.role.value,
            "term": state.term,
            "leader_id": state.leader_id,
            "commit_index": state.commit_index,
            "last_index": state.log.last_index,
            "base_index": state.log.base.log_index,
            "snapshot_index": state.snapshot.log_index if state.snapshot else 0,
            "voters": sorted(state.members.voter_ids),
            "learners": [member.replica_id for member in state.members.learners],
            "pending": len(self._pending),
            "peers": [list(peer) for peer in self._peers()],
        }

    def _peers(self) -> tuple[tuple[str, int, str], ...]:
        return self._leader.peers() if self._leader is not None else ()

    def _check_lease(self, now: float) -> None:
        """Step down once the lease has expired."""
        if self._leader is not None and now >= self._leader.lease_ends_at(now):
            self._step_down(now)

    def _tick(self, now: float) -> None:
        if self._leader is not None:
            self._leader.tick(now)
        elif now >= self._state.election_at:
            if not self._state.may_campaign:
                self._state.restart_election_timer(now)
            elif self._election.start(now):
                self._become_leader(now)

    def _receive(self, sender: str, message: PeerMessage, now: float) -> None:
        if self._ignores_vote_request(message, now):
            return
        if message.term > self._state.term and not _is_pre_vote(message):
            self._state.set_term(message.term, None)
            self._step_down(now)
        if isinstance(message, RequestVote):
            self._election.answer(sender, message, now)
        elif isinstance(message, VoteReply):
            if self._election.count(sender, message, now):
                self._become_leader(now)
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._receive_from_leader(sender, message, now)
        elif self._leader is not None and message.term == self._state.term:
            self._leader.on_reply(sender, message, now)

    def _ignores_vote_request(self, message: PeerMessage, now: float) -> bool:
        """Return whether to ignore a vote request because a leader may hold a lease."""
        if not isinstance(message, RequestVote) or message.is_pre_vote:
            return False
        return self._leader is not None or self._election.may_have_leader(now)

    def _receive_from_leader(
        self, sender: str, message: AppendEntries | InstallSnapshot, now: float
    ) -> None:
        state = self._state
        if message.term < state.term:
            refusal = AppendReply(state.term, False, 0, message.sent_at)
            state.send(sender, refusal)
            return
        state.role = Role.FOLLOWER
        state.set_leader(sender)
        state.leader_heard_at = now
        state.restart_election_timer(now)
        if isinstance(message, AppendEntries):
            self._follower.append(sender, message)
        else:
            self._follower.install(sender, message)

    def _become_leader(self, now: float) -> None:
        self._state.role = Role.LEADER
        self._state.set_leader(self._state.replica_id)
        self._leader = Leader(self._state, now)

    def _step_down(self, now: float) -> None:
        """Become a follower; pending proposals end with ``Outcome.UNKNOWN``."""
        self._state.role = Role.FOLLOWER
        self._state.set_leader(None)
        if self._leader is None:
            return
        self._leader.refuse_reads()
        self._leader = None
        self._state.restart_election_timer(now)
        for log_index, proposal_id in sorted(self._pending.items()):
            term = self._state.log.term_at(log_index) or 0
            self._state.emit(
                ProposalResult(proposal_id, Outcome.UNKNOWN, term, log_index)
            )
        self._pending.clear()

    def _propose(self, proposals: tuple[Proposal, ...], now: float) -> None:
        if self._leader is None:
            for proposal in proposals:
                self._refuse(proposal.proposal_id, self._not_leading_outcome())
            return
        entries: list[Entry] = []
        for proposal in proposals:
            if not 0 < len(proposal.command) <= COMMAND_BYTES:
                self._refuse(proposal.proposal_id, Outcome.REJECTED)
            elif len(self._pending) >= PENDING_PROPOSALS:
                self._refuse(proposal.proposal_id, Outcome.OVERLOADED)
            else:
                log_index = self._state.log.last_index + len(entries) + 1
                self._pending[log_index] = proposal.proposal_id
                entries.append(Entry(self._state.term, log_index, proposal.command))
        if entries:
            self._leader.append(tuple(entries), now)

    def _change_members(self, message: ChangeMembers, now: float) -> None:
        if self._leader is None:
            self._refuse(message.proposal_id, self._not_leading_outcome())
            return
        members = self._leader.changed_members(message.change)
        if members is None:
            self._refuse(message.proposal_id, Outcome.REJECTED)
            return
        log_index = self._state.log.last_index + 1
        self._pending[log_index] = message.proposal_id
        entry = Entry(self._state.term, log_index, b"", members)
        self._leader.append((entry,), now)

    def _read(self, read_id: int, now: float) -> None:
        state = self._state
        if self._leader is None:
            outcome = self._not_leading_outcome()
            state.emit(ReadReady(read_id, outcome, leader_id=state.leader_id))
        elif not self._leader.has_committed_in_term:
            state.emit(ReadReady(read_id, Outcome.NO_MAJORITY))
        else:
            self._leader.read(read_id, now)

    def _compact(self, message: Compact) -> None:
        state = self._state
        term = state.log.term_at(message.log_index)
        is_stale = state.snapshot and state.snapshot.log_index >= message.log_index
        if term is None or is_stale or message.log_index > state.commit_index:
            return
        members = state.log.members_at(message.log_index)
        snapshot = Snapshot(term, message.log_index, members, message.state)
        state.compact(snapshot, state.log.count_retained(message.log_index))

    def _report_committed(self, now: float) -> None:
        """Report newly committed proposals; step down if this leader was removed."""
        state = self._state
        while self._pending:
            log_index = next(iter(self._pending))
            if log_index > state.commit_index:
                break
            proposal_id = self._pending.pop(log_index)
            term = state.log.term_at(log_index) or 0
            state.emit(ProposalResult(proposal_id, Outcome.COMMITTED, term, log_index))
        is_removed = self._leader is not None and not state.is_voter
        if is_removed and state.log.members_index <= state.commit_index:
            self._step_down(now)

    def _not_leading_outcome(self) -> Outcome:
        is_leader_known = self._state.leader_id is not None
        return Outcome.NOT_LEADER if is_leader_known else Outcome.NO_MAJORITY

    def _refuse(self, proposal_id: int, outcome: Outcome) -> None:
        leader_id = self._state.leader_id
        self._state.emit(ProposalResult(proposal_id, outcome, leader_id=leader_id))


def _is_pre_vote(message: PeerMessage) -> bool:
    """Return whether a message names a term that no replica has entered yet."""
    if isinstance(message, RequestVote):
        return message.is_pre_vote
    return isinstance(message, VoteReply) and message.is_pre_vote and message.is_granted
