"""Simulate control instances and daemons that prove tables over a faulty network."""

import random
from typing import NamedTuple

from pimentobend_core._internal.configuration.confirmation import LeadershipConfirmation
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationInput,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationTick,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof import PROOF_SHARE
from pimentobend_core._internal.configuration.proof import TablesProof
from pimentobend_core._internal.configuration.proof_messages import ProofAsk
from pimentobend_core._internal.configuration.proof_messages import ProofAskReceived
from pimentobend_core._internal.configuration.proof_messages import ProofInput
from pimentobend_core._internal.configuration.proof_messages import ProofReply
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofSent
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import ProofTick
from pimentobend_core._internal.configuration.proof_messages import RelayInput
from pimentobend_core._internal.configuration.proof_messages import TablesProven
from pimentobend_core._internal.configuration.proof_messages import TablesVersionChanged
from pimentobend_core._internal.configuration.proof_relay import ProofRelay
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.fleet.proof_in_force import ProofInForce

REVOKE_S = 5.0
LIMIT_S = PROOF_SHARE * REVOKE_S
STEP_S = 0.02
LATENCY_S = 0.03
CONTROL = ("c1", "c2", "c3")
DAEMONS = ("d1", "d2")


class NodeClock(ClockPort):
    """Counts from a start and at a rate of its own; suspensions are counted."""

    def __init__(self, fleet: "ProofFleet", offset_s: float, rate: float) -> None:
        self._fleet = fleet
        self._offset_s = offset_s
        self._rate = rate

    def now(self) -> float:
        return self._offset_s + self._rate * self._fleet.now


class Packet(NamedTuple):
    """A message on its way; late ones may arrive at any time after ``due_at``."""

    due_at: float
    sender: str
    recipient: str
    message: ProofAsk | ProofReply | VersionRead


class Accepted(NamedTuple):
    """A version that removes a key which all earlier versions have."""

    version: Version
    acknowledged_at: float


class Control:
    """The confirmations and the relay of a control instance."""

    def __init__(self, name: str, fleet: "ProofFleet", clock: NodeClock) -> None:
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._confirmation = LeadershipConfirmation(name)
        self._relay = ProofRelay(name, LIMIT_S, fleet.draw_token())

    def learn_leader(self, change: LeaderChanged) -> None:
        self._confirm(change)
        leader = change.leader_id
        is_other = leader is not None and leader != self._name
        self._handle(ProofTargetsChanged((leader,) if leader and is_other else ()))

    def receive(self, packet: Packet) -> None:
        match packet.message:
            case VersionRead():
                self._confirm(packet.message)
            case ProofAsk():
                self._handle(ProofAskReceived(packet.sender, packet.message))
            case ProofReply():
                self._handle(ProofReplyReceived(packet.sender, packet.message))

    def tick(self) -> None:
        now = self._clock.now()
        if (due_at := self._confirmation.due_at) is not None and due_at <= now:
            self._confirm(ConfirmationTick())
        if (due_at := self._relay.due_at) is not None and due_at <= now:
            self._handle(ProofTick())

    def _confirm(self, message: ConfirmationInput) -> None:
        for output in self._confirmation.handle(message, self._clock.now()):
            if isinstance(output, LeadershipConfirmed):
                self._handle(output)
            else:
                self._fleet.reads.append((self._name, output))

    def _handle(self, message: RelayInput) -> None:
        for output in self._relay.handle(message, self._clock.now()):
            if isinstance(output, ProofSent):
                self._fleet.send(self._name, output)


class Daemon:
    """The proofs of a daemon, and the version of its tables."""

    def __init__(
        self, name: str, fleet: "ProofFleet", clock: NodeClock, version: Version
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._state = TablesProof(LIMIT_S, fleet.draw_token())
        self._in_force = ProofInForce(LIMIT_S, clock, clock)
        self.version = version
        self._handle(TablesVersionChanged(version))
        first = DAEMONS.index(name)
        self._handle(ProofTargetsChanged((*CONTROL[first:], *CONTROL[:first])))

    @property
    def is_proven(self) -> bool:
        return self._in_force.is_proven()

    def apply(self, version: Version) -> None:
        """Put tables in force if they are newer, as ``TablesInForce`` does."""
        if version > self.version:
            self.version = version
            self._handle(TablesVersionChanged(version))

    def receive(self, packet: Packet) -> None:
        if isinstance(packet.message, ProofReply):
            self._handle(ProofReplyReceived(packet.sender, packet.message))

    def tick(self) -> None:
        due_at = self._state.due_at
        if due_at is not None and due_at <= self._clock.now():
            self._handle(ProofTick())

    def _handle(self, message: ProofInput) -> None:
        for output in self._state.handle(message, self._clock.now()):
            match output:
                case ProofSent():
                    self._fleet.send(self._name, output)
                case TablesProven():
                    self._in_force.put(output.proof)


class ProofFleet:
    """Three control instances and two daemons; ``leader`` is the elected one."""

    def __init__(self) -> None:
        self.now = 0.0
        self.leader: str | None = None
        self.accepted = [Accepted(Version(0, 1), 0.0)]
        self.in_transit: list[Packet] = []
        self.reads: list[tuple[str, VersionReadRequest]] = []
        self.frozen: set[str] = set()
        self.apart: set[frozenset[str]] = set()  # pairs without a link
        self.stale: set[str] = set()  # daemons that get no newer tables
        self.slow: str | None = None  # takes 0.3 s longer for each message
        self.loss = 0.0
        self._rng = random.Random(5)
        self._term = 0
        # The clocks differ in their start, and in their rate by more than real ones.
        self._clocks = {
            name: NodeClock(self, 1000.0 * place, 0.99 + 0.005 * place)
            for place, name in enumerate((*CONTROL, *DAEMONS))
        }
        self.control = {name: self._start_control(name) for name in CONTROL}
        self.daemons = {
            name: self._start_daemon(name, FIRST_VERSION) for name in DAEMONS
        }

    @property
    def newest(self) -> Version:
        return self.accepted[-1].version

    def draw_token(self) -> int:
        return self._rng.getrandbits(62)

    def accept(self) -> None:
        version = Version(self._term, self.newest.log_index + 1)
        self.accepted.append(Accepted(version, self.now))

    def elect(self, name: str | None) -> None:
        self._term += name is not None
        self.leader = name

    def learn_leader(self, name: str) -> None:
        self.control[name].learn_leader(LeaderChanged(self._term, self.leader))

    def restart(self, name: str, version: Version) -> None:
        if name in CONTROL:
            self.control[name] = self._start_control(name)
        else:
            self.daemons[name] = self._start_daemon(name, version)

    def send(self, sender: str, sent: ProofSent) -> None:
        self._post(Packet(self.now + LATENCY_S, sender, sent.recipient, sent.message))

    def confirm(self, position: int) -> None:
        """Let a majority answer a read; its reply may be handled much later."""
        name, read = self.reads.pop(position)
        version = self.newest if name == self.leader else None
        reply = VersionRead(read.token, version)
        self._post(Packet(self.now + LATENCY_S, name, name, reply))

    def deliver(self, packet: Packet) -> None:
        """Deliver a message unless its ends are apart, or keep it for a frozen node."""
        if packet.recipient in self.frozen:
            self.in_transit.append(packet)
            return
        if frozenset((packet.sender, packet.recipient)) not in self.apart:
            self._node(packet.recipient).receive(packet)

    def tick(self) -> None:
        for name in (*CONTROL, *DAEMONS):
            if name not in self.frozen:
                self._node(name).tick()

    def cut_off_or_reconnect(self, node: str, others: tuple[str, ...]) -> None:
        self.apart ^= {frozenset((node, other)) for other in others if other != node}

    def heal(self) -> None:
        self.frozen.clear()
        self.apart.clear()
        self.stale.clear()
        self.slow, self.loss = None, 0.0
        if self.leader is None:
            self.elect(CONTROL[0])
        for name in CONTROL:
            self.learn_leader(name)

    def run(self, seconds: float, must_be_proven: bool = False) -> None:
        """Run without faults of the network but the set loss and slowness."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.check()
            unproven = [
                name for name, each in self.daemons.items() if not each.is_proven
            ]
            assert not (must_be_proven and unproven), unproven
            self.tick()
            while self.reads:
                self.confirm(0)
            self._deliver_due()
            for name in set(DAEMONS) - self.stale - self.frozen:
                self.daemons[name].apply(self.newest)

    def check(self) -> None:
        """Check that no key is admitted ``REVOKE_S`` after its removal."""
        for name, daemon in self.daemons.items():
            missed = [each for each in self.accepted if each.version > daemon.version]
            if missed and daemon.is_proven:
                late_s = self.now - missed[0].acknowledged_at
                assert late_s <= REVOKE_S, (name, missed[0], late_s)

    def _deliver_due(self) -> None:
        packets, self.in_transit = self.in_transit, []
        for packet in packets:
            is_local = packet.sender == packet.recipient
            if packet.due_at > self.now:
                self.in_transit.append(packet)
            elif is_local or self._rng.random() >= self.loss:
                self.deliver(packet)

    def _post(self, packet: Packet) -> None:
        delay_s = 0.3 if packet.sender == self.slow else 0.0
        self.in_transit.append(packet._replace(due_at=packet.due_at + delay_s))

    def _start_control(self, name: str) -> Control:
        return Control(name, self, self._clocks[name])

    def _start_daemon(self, name: str, version: Version) -> Daemon:
        return Daemon(name, self, self._clocks[name], version)

    def _node(self, name: str) -> Control | Daemon:
        return self.control[name] if name in CONTROL else self.daemons[name]
