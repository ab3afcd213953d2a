"""Claim idempotency keys in the ledger through the ledger client's task."""

import itertools

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.ledger.client import LedgerClient
from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.client_messages import ClientInput
from pimentobend_core._internal.ledger.client_messages import ClientOutput
from pimentobend_core._internal.ledger.client_messages import ClientTick
from pimentobend_core._internal.ledger.client_messages import LookedUp
from pimentobend_core._internal.ledger.client_messages import LookUpRequest
from pimentobend_core._internal.ledger.client_messages import ReplyArrived
from pimentobend_core._internal.ledger.client_messages import SendRequest
from pimentobend_core._internal.ledger.client_messages import SettleRequest
from pimentobend_core._internal.ledger.client_messages import create_claim_request
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import LedgerKey
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.refusals import NO_MAJORITY
from pimentobend_core._internal.ledger.wire import decode_reply
from pimentobend_core._internal.ledger.wire import encode_request
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import Claim
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import LedgerPort

KIND_REQUEST = "ledger.request"
KIND_REPLY = "ledger.reply"
TICK_S = 0.05
CLAIM_TIMEOUT_S = 10.0  # a safeguard: the ledger client gives up much earlier

TicketReply = ClaimGranted | ClaimDenied | LookedUp


class LedgerTasks(LedgerPort):
    """Run the ledger client as a task and match replies to waiting requests."""

    def __init__(self, client: LedgerClient, link: Transport, clock: ClockPort) -> None:
        self._link = link
        self._tickets = itertools.count(1)
        self._replies: Replies[TicketReply] = Replies(lambda reply: reply.ticket)
        self._claims: dict[str, ClaimId] = {}
        self._task: FilterTask[ClientInput, ClientOutput] = FilterTask(
            "ledger-client",
            client,
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, ClientTick()),
        )

    @property
    def task(self) -> FilterTask[ClientInput, ClientOutput]:
        """Return the task that runs the ledger client."""
        return self._task

    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Claim a request's key in the ledger, or return why it was not granted."""
        key = head.idempotency_key or ""
        ask = create_claim_request(next(self._tickets), head, key)
        reply = self._replies.ask(
            ask.ticket, lambda: self._task.put(ask), CLAIM_TIMEOUT_S
        )
        if isinstance(reply, ClaimGranted):
            claim = Claim(key, "/".join(str(part) for part in reply.claim_id))
            self._claims[claim.claim_id] = reply.claim_id
            return Success(claim)
        if isinstance(reply, ClaimDenied):
            return Failure(reply.refusal)
        return Failure(NO_MAJORITY)

    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Record the outcome of a claim."""
        claim_id = self._claims.pop(claim.claim_id)
        self._task.put(SettleRequest(claim_id, ran, status))

    def look_up(self, organisation: str, key: str) -> WorkFound | None:
        """Return what the ledger knows about a key; None if no majority answers."""
        ask = LookUpRequest(next(self._tickets), LedgerKey(organisation, key))
        reply = self._replies.ask(
            ask.ticket, lambda: self._task.put(ask), CLAIM_TIMEOUT_S
        )
        return reply.found if isinstance(reply, LookedUp) else None

    def handle_frame(self, frame: Frame) -> None:
        """Handle a replica's reply; raise CodecError if it is malformed."""
        reply = decode_reply(frame.payload, self._link.address)
        self._task.put(ReplyArrived(reply))

    def _handle_output(self, message: ClientOutput) -> None:
        if isinstance(message, SendRequest):
            payload = encode_request(message.group, message.request)
            self._link.send(message.replica_id, KIND_REQUEST, payload)
            return
        is_awaited = self._replies.resolve(message)
        if isinstance(message, ClaimGranted) and not is_awaited:
            # Nobody waits for this claim any more, so it will never be used.
            self._task.put(SettleRequest(message.claim_id, Ran.NOT_RUN, 0))
