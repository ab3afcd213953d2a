"""Simulated path between the ledger's client and service, with fixed delays."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.ledger.client import LedgerClient
from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.client_messages import ClaimRequest
from pimentobend_core._internal.ledger.client_messages import ClientOutput
from pimentobend_core._internal.ledger.client_messages import ReplyArrived
from pimentobend_core._internal.ledger.client_messages import SendRequest
from pimentobend_core._internal.ledger.client_messages import SettleRequest
from pimentobend_core._internal.ledger.messages import LedgerKey
from pimentobend_core._internal.ledger.service import LedgerService
from pimentobend_core._internal.ledger.service_messages import EntryAccepted
from pimentobend_core._internal.ledger.service_messages import EntryCommitted
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import ProposeEntry
from pimentobend_core._internal.ledger.service_messages import ServiceOutput
from pimentobend_core._internal.models.request import Ran

DEADLINE_S = 5.0  # time from the claim to the deadline of its request
WORK_S = 0.02  # time from the grant of a claim to the record of its outcome
FINGERPRINT = b"p" * 8


class PathDelays(NamedTuple):
    """Delays that a claim meets, in seconds."""

    to_leader_s: float  # one way, from the daemon
    to_majority_s: float  # round trip, from the leader
    sync_s: float  # duration for one entry; entries are synced one after another


class PathReport(NamedTuple):
    """Outcome of all claims of one run."""

    granted: int
    denied: int
    entries: int  # of the log
    latencies_s: list[float]  # of the granted claims


class ClaimPath:
    """The simulated clock, one daemon's ledger client and the leader's service."""

    def __init__(self, delays: PathDelays, service: LedgerService, seed: int) -> None:
        self._delays = delays
        self._service = service
        self._client = LedgerClient("daemon", 1, (("leader",),))
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._disk_free_at = 0.0
        self._asked_at: dict[int, float] = {}
        self._last_index = 0
        self._denied = 0
        self._latencies_s: list[float] = []

    def run(self, claims_a_second: float, seconds: float) -> PathReport:
        """Send claims as a Poisson process and return their outcome."""
        due = 0.0
        for ticket in itertools.count(1):
            due += self._rng.expovariate(claims_a_second)
            if due >= seconds:
                break
            self._asked_at[ticket] = due
            self._call_at(due, self._create_ask(ticket, due))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        granted = len(self._latencies_s)
        return PathReport(granted, self._denied, self._last_index, self._latencies_s)

    def _call_at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def _create_ask(self, ticket: int, due: float) -> Callable[[], None]:
        key = LedgerKey("organisation", f"key-{ticket}")
        ask = ClaimRequest(ticket, key, FINGERPRINT, due + DEADLINE_S)
        return lambda: self._handle_client(self._client.handle(ask, self._now))

    def _handle_client(self, outputs: tuple[ClientOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, SendRequest):
                self._send_request(output)
            elif isinstance(output, ClaimDenied):
                self._denied += 1
            elif isinstance(output, ClaimGranted):
                self._latencies_s.append(self._now - self._asked_at[output.ticket])
                self._settle_later(output)

    def _settle_later(self, granted: ClaimGranted) -> None:
        settle = SettleRequest(granted.claim_id, Ran.RAN, 200)
        self._call_at(
            self._now + WORK_S,
            lambda: self._handle_client(self._client.handle(settle, self._now)),
        )

    def _send_request(self, output: SendRequest) -> None:
        self._call_at(
            self._now + self._delays.to_leader_s,
            lambda: self._handle_service(
                self._service.handle(output.request, self._now)
            ),
        )

    def _handle_service(self, outputs: tuple[ServiceOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, ProposeEntry):
                self._propose(output)
            elif isinstance(output, LedgerReply):
                self._send_reply(output)

    def _propose(self, entry: ProposeEntry) -> None:
        synced_at = max(self._now, self._disk_free_at) + self._delays.sync_s
        self._disk_free_at = synced_at
        self._last_index += 1
        index = self._last_index
        self._call_at(
            synced_at + self._delays.to_majority_s, lambda: self._commit(entry, index)
        )

    def _commit(self, entry: ProposeEntry, index: int) -> None:
        accepted = EntryAccepted(entry.proposal_id, index)
        committed = EntryCommitted(index, entry.payload)
        self._handle_service(self._service.handle(accepted, self._now))
        self._handle_service(self._service.handle(committed, self._now))

    def _send_reply(self, reply: LedgerReply) -> None:
        arrived = ReplyArrived(reply)
        self._call_at(
            self._now + self._delays.to_leader_s,
            lambda: self._handle_client(self._client.handle(arrived, self._now)),
        )
