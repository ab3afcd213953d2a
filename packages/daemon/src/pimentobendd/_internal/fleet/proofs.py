"""Prove the tables in force in a process, as far as its roles need it."""

import secrets
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_adapters._internal.clock import BootClock
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof import PROOF_SHARE
from pimentobend_core._internal.configuration.proof import TablesProof
from pimentobend_core._internal.configuration.proof_messages import NewerTablesProven
from pimentobend_core._internal.configuration.proof_messages import ProofAsk
from pimentobend_core._internal.configuration.proof_messages import ProofAskReceived
from pimentobend_core._internal.configuration.proof_messages import ProofReply
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import TablesVersionChanged
from pimentobend_core._internal.configuration.proof_relay import ProofRelay
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.gossip.nearest import order_control_instances
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import ProofPort
from pimentobendd._internal.fleet.control import FleetControl
from pimentobendd._internal.fleet.proof_in_force import ProofInForce
from pimentobendd._internal.fleet.proof_log import ProofLog
from pimentobendd._internal.fleet.proof_tasks import KIND_ASK
from pimentobendd._internal.fleet.proof_tasks import KIND_REPLY
from pimentobendd._internal.fleet.proof_tasks import ControlProofs
from pimentobendd._internal.fleet.proof_tasks import InstanceProofs
from pimentobendd._internal.tables import TablesInForce

TOKEN_BITS = 62  # of the first token; the others follow it in one 64-bit integer


class ProofPorts(NamedTuple):
    """Values, tasks and functions of the process that the proofs use."""

    link: Transport
    tables: TablesInForce
    control: FleetControl | None  # None without the role control
    is_instance: bool
    counters: CounterTable
    on_newer: Callable[[NewerTablesProven], None]
    clock: ClockPort


class FleetProofs:
    """Runs the tasks that get and give proofs, for a bound on revoked keys."""

    def __init__(self, revoke_s: float, ports: ProofPorts) -> None:
        self._ports = ports
        self._limit_s = PROOF_SHARE * revoke_s
        self._boot_clock = BootClock()
        self._targets: tuple[str, ...] = ()
        self._in_force = ProofInForce(self._limit_s, self._boot_clock, ports.clock)
        self._log = ProofLog(ports.counters)
        self._relay = None if ports.control is None else self._relay_of(ports.control)
        self._instance = self._create_instance() if ports.is_instance else None

    @property
    def proof(self) -> ProofPort:
        """Return the access to the proof of the tables in force."""
        return self._in_force

    def is_ready(self) -> bool:
        """Return whether requests are admitted that need a key by these tables."""
        takes_keys = (
            self._instance is not None and self._ports.tables.current().organisations
        )
        return not takes_keys or self._in_force.is_proven()

    def start(self) -> None:
        """Start the tasks."""
        if self._relay is not None:
            self._relay.task.start()
        if self._instance is not None:
            self._instance.task.start()

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames that carry proofs."""
        if self._relay is not None:
            router.register(KIND_ASK, self._handle_ask)
        router.register(KIND_REPLY, self._handle_reply)

    def update_peers(self, own: PeerRow, peers: tuple[PeerRow, ...]) -> None:
        """Replace the list of known daemons."""
        targets = order_control_instances(own, peers)
        if self._instance is not None and targets != self._targets:
            self._targets = targets
            self._instance.task.put(ProofTargetsChanged(targets))

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks, one section per task."""
        tasks = [each.task for each in (self._relay, self._instance) if each]
        return {task.name: task.dump() for task in tasks}

    def _relay_of(self, control: FleetControl) -> ControlProofs:
        """Return the task that gives the proof of a control instance."""
        link = self._ports.link
        state = ProofRelay(link.address, self._limit_s, secrets.randbits(TOKEN_BITS))
        relay = ControlProofs(state, link, self._log, self._boot_clock)
        control.confirmations.subscribe(relay.task.put)
        control.subscribe_leader(relay.update_leader)
        return relay

    def _create_instance(self) -> InstanceProofs:
        instance = InstanceProofs(
            TablesProof(self._limit_s, secrets.randbits(TOKEN_BITS)),
            self._in_force,
            self._ports.link,
            self._log,
            self._ports.on_newer,
            self._boot_clock,
        )
        self._ports.tables.subscribe(self._update_tables)
        return instance

    def _update_tables(self, tables: Tables) -> None:
        if self._instance is not None:
            self._instance.task.put(TablesVersionChanged(Version(*tables[:2])))

    def _handle_ask(self, frame: Frame) -> None:
        try:
            ask = decode(frame.payload, ProofAsk)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        if self._relay is not None:
            self._relay.task.put(ProofAskReceived(frame.sender, ask))

    def _handle_reply(self, frame: Frame) -> None:
        """Pass a reply to both tasks; the one without its token ignores it."""
        try:
            reply = decode(frame.payload, ProofReply)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        received = ProofReplyReceived(frame.sender, reply)
        if self._relay is not None:
            self._relay.task.put(received)
        if self._instance is not None:
            self._instance.task.put(received)
