"""Elect a leader: pre-votes, votes and election timeouts."""

from pimentobend_core._internal.consensus.constants import ELECTION_MIN_S
from pimentobend_core._internal.consensus.messages import RequestVote
from pimentobend_core._internal.consensus.messages import VoteReply
from pimentobend_core._internal.consensus.state import ReplicaState
from pimentobend_core._internal.consensus.state import Role


class Election:
    """Requests and counts votes for this replica, and votes for others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes: set[str] = set()

    def start(self, now: float) -> bool:
        """Start a pre-vote; return whether this replica won the election at once."""
        self._state.restart_retry_timer(now)
        self._state.set_leader(None)
        self._state.role = Role.PRE_CANDIDATE
        self._votes = {self._state.replica_id}
        if self._has_quorum():
            return self._start_vote(now)
        self._request_votes(self._state.term + 1, is_pre_vote=True)
        return False

    def answer(self, sender: str, message: RequestVote, now: float) -> None:
        """Grant or deny a vote or a pre-vote."""
        state = self._state
        is_granted = message.term >= state.term and self._is_log_up_to_date(message)
        if message.is_pre_vote:
            is_granted = is_granted and message.term > state.term
            is_granted = is_granted and not self.may_have_leader(now)
            term = message.term if is_granted else state.term
            state.send(sender, VoteReply(term, is_granted, is_pre_vote=True))
            return
        is_granted = is_granted and state.voted_for in (None, sender)
        if is_granted and state.voted_for is None:
            state.set_term(state.term, sender)
        if is_granted:
            state.restart_election_timer(now)
        state.send(sender, VoteReply(state.term, is_granted, is_pre_vote=False))

    def count(self, sender: str, message: VoteReply, now: float) -> bool:
        """Count a vote; return whether this replica has won the election."""
        state = self._state
        if not message.is_granted:
            return False
        if message.is_pre_vote:
            if state.role is not Role.PRE_CANDIDATE or message.term != state.term + 1:
                return False
            self._votes.add(sender)
            return self._has_quorum() and self._start_vote(now)
        if state.role is not Role.CANDIDATE or message.term != state.term:
            return False
        self._votes.add(sender)
        return self._has_quorum()

    def may_have_leader(self, now: float) -> bool:
        """Return whether a leader's lease may still depend on this replica."""
        return now < self._state.leader_heard_at + ELECTION_MIN_S

    def _start_vote(self, now: float) -> bool:
        state = self._state
        state.role = Role.CANDIDATE
        state.set_term(state.term + 1, state.replica_id)
        state.restart_retry_timer(now)
        self._votes = {state.replica_id}
        if self._has_quorum():
            return True
        self._request_votes(state.term, is_pre_vote=False)
        return False

    def _request_votes(self, term: int, *, is_pre_vote: bool) -> None:
        log = self._state.log
        message = RequestVote(term, log.last_index, log.last_term, is_pre_vote)
        for voter in sorted(self._state.members.voter_ids):
            if voter != self._state.replica_id:
                self._state.send(voter, message)

    def _has_quorum(self) -> bool:
        return self._state.members.has_quorum(frozenset(self._votes))

    def _is_log_up_to_date(self, message: RequestVote) -> bool:
        log = self._state.log
        candidate_last = (message.last_term, message.last_index)
        return candidate_last >= (log.last_term, log.last_index)
