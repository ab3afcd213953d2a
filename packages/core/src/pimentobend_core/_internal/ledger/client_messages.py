"""Define the messages of the ledger's client in a daemon."""

from typing import NamedTuple

from pimentobend_core._internal.ledger.keys import fingerprint_request
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import LedgerKey
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead


class AskClaim(NamedTuple):
    """Ask for a claim; ``deadline`` is in seconds of the clock."""

    ticket: int
    key: LedgerKey
    fingerprint: bytes
    deadline: float


class AskSettle(NamedTuple):
    """Ask to record the outcome of a granted claim."""

    claim_id: ClaimId
    ran: Ran
    status: int


class AskLookUp(NamedTuple):
    """Ask what is known of a key."""

    ticket: int
    key: LedgerKey


class ReplyArrived(NamedTuple):
    """Hand over a replica's reply."""

    reply: LedgerReply


class ClientTick(NamedTuple):
    """Let waiting claims expire and repeat what was not answered."""


class ClaimGranted(NamedTuple):
    """Allow a ticket to send its work once."""

    ticket: int
    claim_id: ClaimId


class ClaimDenied(NamedTuple):
    """Refuse a ticket; it must not send its work."""

    ticket: int
    refusal: Refusal


class LookedUp(NamedTuple):
    """Answer a look-up; None when no majority answered."""

    ticket: int
    found: WorkFound | None


class SendRequest(NamedTuple):
    """Send a command to a replica of a group."""

    group: int
    replica_id: str
    request: LedgerRequest


def create_ask(ticket: int, head: RequestHead, key: str) -> AskClaim:
    """Return the ask for a request under an idempotency key."""
    ledger_key = LedgerKey(head.organisation, key)
    return AskClaim(ticket, ledger_key, fingerprint_request(head), head.deadline)


ClientInput = AskClaim | AskSettle | AskLookUp | ReplyArrived | ClientTick
ClientOutput = ClaimGranted | ClaimDenied | LookedUp | SendRequest
