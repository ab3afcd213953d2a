"""Simulated cluster of replicas with delays between them and at their disks."""

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
    """Layout of a cluster and its delays."""

    regions: str  # one letter per replica names its region
    within_s: float  # one-way delay within a region
    between_s: float  # one-way delay between regions
    sync_s: float  # duration of one write to disk
    loss: float  # share of the messages that are lost


class _Event(NamedTuple):
    due: float
    order: int  # keeps events of the same time in the order of sending
    recipient: str
    message: ReplicaInput


class TimedCluster:
    """The simulated clock, the replicas and the messages in transit."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self._ids = [f"{region}{n}" for n, region in enumerate(shape.regions)]
        members = Members(
            tuple(Member(replica_id, replica_id) for replica_id in self._ids)
        )
        self.now = 0.0
        self.replicas = {
            replica_id: Replica(replica_id, fresh_state(members), seed, 0.0)
            for replica_id in self._ids
        }
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._proposal_ids = itertools.count(1)
        self._committed: set[int] = set()

    @property
    def leader(self) -> str | None:
        """Return the leader of the highest term, or None."""
        leaders = [
            replica.state
            for replica in self.replicas.values()
            if replica.state.role is Role.LEADER
        ]
        newest = max(leaders, key=lambda state: state.term, default=None)
        return None if newest is None else newest.replica_id

    def crash(self, replica_id: str) -> None:
        """Remove a replica for good."""
        del self.replicas[replica_id]

    def advance(self, seconds: float) -> None:
        """Advance the simulated time and run the ticks and messages that are due."""
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
        """Propose a command to the leader; return its id, or None without a leader."""
        leader = self.leader
        if leader is None:
            return None
        proposal_id = next(self._proposal_ids)
        self._handle(leader, Propose((Proposal(proposal_id, b"x"),)))
        return proposal_id

    def is_committed(self, proposal_id: int) -> bool:
        """Return whether a proposal was acknowledged."""
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
        is_same_region = sender[0] == output.recipient[0]
        shape = self._shape
        link_s = shape.within_s if is_same_region else shape.between_s
        due = self.now + delay_s + link_s * self._rng.uniform(1.0, 1.2)
        received = Received(sender, output.message)
        event = _Event(due, next(self._order), output.recipient, received)
        heapq.heappush(self._events, event)
