"""Define the messages of the ledger's client in a daemon.

A ticket is the number that a request and its answer share.
"""

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


class ClaimRequest(NamedTuple):
    """Ask for a claim; the answer has the same ``ticket``.

    ``deadline`` is in seconds of the clock.
    """

    ticket: int
    key: LedgerKey
    fingerprint: bytes  # distinguishes requests with the same key
    deadline: float


class SettleRequest(NamedTuple):
    """Ask to record the outcome of a granted claim."""

    claim_id: ClaimId
    ran: Ran
    status: int


class LookUpRequest(NamedTuple):
    """Ask what the ledger knows about a key."""

    ticket: int
    key: LedgerKey


class ReplyArrived(NamedTuple):
    """Deliver a replica's reply."""

    reply: LedgerReply


class ClientTick(NamedTuple):
    """Expire pending commands and resend those without an answer."""


class ClaimGranted(NamedTuple):
    """Grant a claim: the request that the ticket is for may be sent once."""

    ticket: int
    claim_id: ClaimId


class ClaimDenied(NamedTuple):
    """Deny a claim: the request that the ticket is for must not be sent."""

    ticket: int
    refusal: Refusal


class LookedUp(NamedTuple):
    """Answer a look-up; ``found`` is None if no majority answered."""

    ticket: int
    found: WorkFound | None


class SendRequest(NamedTuple):
    """Send a command to a replica of a group."""

    group: int
    replica_id: str
    request: LedgerRequest


def create_claim_request(ticket: int, head: RequestHead, key: str) -> ClaimRequest:
    """Return the claim to ask for before a request with an idempotency key."""
    ledger_key = LedgerKey(head.organisation, key)
    return ClaimRequest(ticket, ledger_key, fingerprint_request(head), head.deadline)


ClientInput = ClaimRequest | SettleRequest | LookUpRequest | ReplyArrived | ClientTick
ClientOutput = ClaimGranted | ClaimDenied | LookedUp | SendRequest
