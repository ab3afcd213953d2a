"""Run replicas in simulated time with a delay between each two."""

import heapq
import itertools
import random
from typing import NamedTuple

from pimentobend_core._internal.consensus.entries import fresh_state
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import Received
from pimentobend_core._internal.consensus.messages import ReplicaInput
from pimentobend_core._internal.consensus.messages import Send
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.replica import Replica
from pimentobend_core._internal.consensus.state import Role
from pimentobend_core._internal.consensus.writes import batch_outputs


class Shape(NamedTuple):
    """Place replicas in regions; delays and syncs are in seconds, one way."""

    regions: str  # a letter a replica
    within_s: float
    between_s: float
    sync_s: float
    loss: float  # share of the messages


class _Event(NamedTuple):
    due: float
    order: int
    recipient: str
    message: ReplicaInput


class TimedCluster:
    """Own the replicas and the messages on their way."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self._ids = [f"{region}{n}" for n, region in enumerate(shape.regions)]
        members = Members(tuple(Member(each, each) for each in self._ids))
        self.now = 0.0
        self.replicas = {
            each: Replica(each, fresh_state(members), seed, 0.0) for each in self._ids
        }
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._proposal_ids = itertools.count(1)
        self._committed: set[int] = set()

    @property
    def leader(self) -> str | None:
        """Return the replica that leads in the highest term."""
        leading = [
            replica.state
            for replica in self.replicas.values()
            if replica.state.role is Role.LEADER
        ]
        best = max(leading, key=lambda state: state.term, default=None)
        return None if best is None else best.replica_id

    def crash(self, replica_id: str) -> None:
        """End a replica for good."""
        del self.replicas[replica_id]

    def advance(self, seconds: float) -> None:
        """Run what is due in the next seconds."""
        until = self.now + seconds
        while True:
            ticks = (replica.next_tick for replica in self.replicas.values())
            due = min(min(ticks), self._events[0].due if self._events else until)
            if due >= until:
                break
            self.now = max(self.now, due)
            if self._events and self._events[0].due <= self.now:
                event = heapq.heappop(self._events)
                self._handle(event.recipient, event.message)
                continue
            for replica_id, replica in tuple(self.replicas.items()):
                if replica.next_tick <= self.now:
                    self._handle(replica_id, Tick())
        self.now = until

    def propose(self) -> int | None:
        """Propose at the leader and return the proposal's id."""
        leader = self.leader
        if leader is None:
            return None
        proposal_id = next(self._proposal_ids)
        self._handle(leader, Propose((Proposal(proposal_id, b"x"),)))
        return proposal_id

    def is_committed(self, proposal_id: int) -> bool:
        """Say whether a proposal was acknowledged."""
        return proposal_id in self._committed

    def _handle(self, replica_id: str, message: ReplicaInput) -> None:
        replica = self.replicas.get(replica_id)
        if replica is None:
            return
        batch = batch_outputs(replica.handle(message, self.now))
        delay_s = self._shape.sync_s * len(batch.writes)
        for output in batch.released:
            if isinstance(output, Send):
                self._send(replica_id, output, delay_s)
            if (
                isinstance(output, ProposalResult)
                and output.outcome is Outcome.COMMITTED
            ):
                self._committed.add(output.proposal_id)

    def _send(self, sender: str, output: Send, delay_s: float) -> None:
        if self._rng.random() < self._shape.loss:
            return
        is_within = sender[0] == output.recipient[0]
        shape = self._shape
        link_s = shape.within_s if is_within else shape.between_s
        due = self.now + delay_s + link_s * self._rng.uniform(1.0, 1.2)
        received = Received(sender, output.message)
        event = _Event(due, next(self._order), output.recipient, received)
        heapq.heappush(self._events, event)
