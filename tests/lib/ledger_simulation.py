"""Run the ledger's client and service over a fake log and network."""

import collections
import enum
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.ledger.client import LedgerClient
from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.client_messages import ClaimRequest
from pimentobend_core._internal.ledger.client_messages import ClientOutput
from pimentobend_core._internal.ledger.client_messages import ClientTick
from pimentobend_core._internal.ledger.client_messages import LookedUp
from pimentobend_core._internal.ledger.client_messages import LookUpRequest
from pimentobend_core._internal.ledger.client_messages import ReplyArrived
from pimentobend_core._internal.ledger.client_messages import SendRequest
from pimentobend_core._internal.ledger.client_messages import SettleRequest
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import LedgerKey
from pimentobend_core._internal.ledger.service import LedgerService
from pimentobend_core._internal.ledger.service_messages import CompactLog
from pimentobend_core._internal.ledger.service_messages import EntryAccepted
from pimentobend_core._internal.ledger.service_messages import EntryCommitted
from pimentobend_core._internal.ledger.service_messages import EntryUnserved
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.ledger.service_messages import ProposeEntry
from pimentobend_core._internal.ledger.service_messages import ServiceOutput
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason
from pimentobend_core._internal.models.request import Ran

REPLICAS = ("replica-1", "replica-2", "replica-3")
FINGERPRINT = b"p" * 8
# Ticks of 1 s, for longer than two waits between the retries of a settlement.
IDLE_TICKS = 14


class WorkOutcome(enum.Enum):
    """What happens to a request that a daemon may send to a server."""

    RAN = "ran"
    REFUSED = "refused"  # the server answers that the request did not run
    LOST_RAN = "lost-ran"  # it ran, but no answer arrived
    LOST_NOT_RUN = "lost-not-run"  # it did not run, and no answer arrived
    CRASH_BEFORE_SEND = "crash-before-send"
    CRASH_AFTER_SEND = "crash-after-send"


REPORTED_OUTCOMES = {
    WorkOutcome.RAN: Ran.RAN,
    WorkOutcome.REFUSED: Ran.NOT_RUN,
    WorkOutcome.LOST_RAN: Ran.UNKNOWN,
    WorkOutcome.LOST_NOT_RUN: Ran.UNKNOWN,
}


class Granted(NamedTuple):
    """A granted claim: the daemon may send its request once."""

    daemon: str
    claim_id: ClaimId
    ticket: int


class Pending(NamedTuple):
    """An entry that the leader proposed and that is not committed yet."""

    proposal_id: int
    payload: bytes


Message = SendRequest | LedgerReply


class LedgerSimulation:
    """Daemons and ledger replicas, with the log and the network between them."""

    def __init__(self, daemons: Iterable[str]) -> None:
        self.now = 0.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.answers: dict[int, list[ClaimGranted | ClaimDenied]] = {}
        self.keys: dict[int, str] = {}
        self.found: dict[int, LookedUp] = {}
        self.network: list[Message] = []
        self.granted: list[Granted] = []
        self.has_majority = True
        self.leader = REPLICAS[0]
        self.log: list[bytes] = []
        self.pending: list[Pending] = []
        self.services = {name: LedgerService() for name in REPLICAS}
        self._epochs = dict.fromkeys(daemons, 1)
        self.daemons = {name: self._start(name) for name in self._epochs}
        self._tickets = 0

    def ask(self, daemon: str, key: str, wait_s: float = 5.0) -> int:
        """Ask a daemon to claim a key for a caller; return the ticket."""
        self._tickets += 1
        ticket = self._tickets
        self.keys[ticket] = key
        self.answers[ticket] = []
        ask = ClaimRequest(
            ticket, LedgerKey("org", key), FINGERPRINT, self.now + wait_s
        )
        self._handle_client_outputs(daemon, self.daemons[daemon].handle(ask, self.now))
        return ticket

    def look_up(self, daemon: str, key: str) -> int:
        """Ask a daemon to look up a key; return the ticket."""
        self._tickets += 1
        ask = LookUpRequest(self._tickets, LedgerKey("org", key))
        self._handle_client_outputs(daemon, self.daemons[daemon].handle(ask, self.now))
        return self._tickets

    def finish_work(self, granted: Granted, outcome: WorkOutcome) -> None:
        """Let the request of a granted claim end with the given outcome."""
        self.granted.remove(granted)
        if outcome in (
            WorkOutcome.RAN,
            WorkOutcome.LOST_RAN,
            WorkOutcome.CRASH_AFTER_SEND,
        ):
            self.runs[self.keys[granted.ticket]] += 1
        if outcome not in REPORTED_OUTCOMES:
            self.crash(granted.daemon)
            return
        settle = SettleRequest(granted.claim_id, REPORTED_OUTCOMES[outcome], 200)
        outputs = self.daemons[granted.daemon].handle(settle, self.now)
        self._handle_client_outputs(granted.daemon, outputs)

    def crash(self, daemon: str) -> None:
        """Restart a daemon without its memory; requests not yet sent are lost."""
        self._epochs[daemon] += 1
        self.daemons[daemon] = self._start(daemon)
        self.granted = [one for one in self.granted if one.daemon != daemon]

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver a message; with ``keep`` a copy stays in transit."""
        message = self.network[position] if keep else self.network.pop(position)
        if isinstance(message, LedgerReply):
            daemon = message.recipient
            arrived = ReplyArrived(message)
            self._handle_client_outputs(
                daemon, self.daemons[daemon].handle(arrived, self.now)
            )
            return
        service = self.services[message.replica_id]
        outputs = service.handle(message.request, self.now)
        self._handle_service_outputs(message.replica_id, outputs)

    def commit(self, count: int = 1) -> None:
        """Commit the next proposed entries and notify the leader."""
        for proposal_id, payload in self.pending[:count]:
            self.log.append(payload)
            self.pending.pop(0)
            accepted = EntryAccepted(proposal_id, len(self.log))
            leader = self.services[self.leader]
            self._handle_service_outputs(self.leader, leader.handle(accepted, self.now))
        self.catch_up(self.leader)

    def catch_up(self, replica: str) -> None:
        """Deliver to a replica the committed entries that it has not applied."""
        service = self.services[replica]
        for index in range(service.applied_index, len(self.log)):
            entry = EntryCommitted(index + 1, self.log[index])
            self._handle_service_outputs(replica, service.handle(entry, self.now))

    def change_leader(self, replica: str, committed: int) -> None:
        """Make another replica the leader; it commits the first pending entries."""
        left, self.pending = self.pending, []
        self.log.extend(payload for _, payload in left[:committed])
        former, self.leader = self.leader, replica
        self.catch_up(replica)
        lost = Unserved(UnservedReason.LOST, None)
        for proposal_id, _ in left:
            unserved = EntryUnserved(proposal_id, lost)
            outputs = self.services[former].handle(unserved, self.now)
            self._handle_service_outputs(former, outputs)

    def restart_replica(self, replica: str) -> None:
        """Restart a replica with an empty state; it applies the log from its start."""
        if replica == self.leader:
            others = [name for name in REPLICAS if name != replica]
            self.change_leader(others[0], committed=len(self.pending))
        self.services[replica] = LedgerService()

    def tick(self, seconds: float) -> None:
        """Let time pass and tick the daemons."""
        self.now += seconds
        for name, client in self.daemons.items():
            self._handle_client_outputs(name, client.handle(ClientTick(), self.now))

    def run_until_idle(self) -> None:
        """Restore the majority, then deliver and tick until all commands have ended."""
        self.has_majority = True
        for _ in range(IDLE_TICKS):
            self.deliver_all()
            self.tick(1.0)

    def deliver_all(self) -> None:
        """Deliver and commit everything in order, without time passing."""
        while self.network or self.pending:
            self.commit(len(self.pending))
            if self.network:
                self.deliver(0)

    def _start(self, name: str) -> LedgerClient:
        return LedgerClient(name, self._epochs[name], (REPLICAS,))

    def _handle_client_outputs(
        self, daemon: str, outputs: tuple[ClientOutput, ...]
    ) -> None:
        for output in outputs:
            if isinstance(output, SendRequest):
                self.network.append(output)
            elif isinstance(output, LookedUp):
                self.found[output.ticket] = output
            else:
                self.answers[output.ticket].append(output)
            if isinstance(output, ClaimGranted):
                self.granted.append(Granted(daemon, output.claim_id, output.ticket))

    def _handle_service_outputs(
        self, replica: str, outputs: tuple[ServiceOutput, ...]
    ) -> None:
        for output in outputs:
            if isinstance(output, LedgerReply):
                self.network.append(output)
            elif isinstance(output, ProposeEntry):
                self._propose(replica, output)
            else:
                assert isinstance(output, CompactLog)

    def _propose(self, replica: str, entry: ProposeEntry) -> None:
        if replica == self.leader and self.has_majority:
            self.pending.append(Pending(entry.proposal_id, entry.payload))
            return
        reason, leader = UnservedReason.NOT_LEADER, self.leader
        if not self.has_majority:
            reason, leader = UnservedReason.NO_MAJORITY, ""
        refused = Unserved(reason, leader or None)
        unserved = EntryUnserved(entry.proposal_id, refused)
        outputs = self.services[replica].handle(unserved, self.now)
        self._handle_service_outputs(replica, outputs)


def is_request(message: Message, kind: type) -> bool:
    """Return whether a message carries a command of a kind."""
    if not isinstance(message, SendRequest):
        return False
    request: LedgerRequest = message.request
    return isinstance(request.command, kind)
