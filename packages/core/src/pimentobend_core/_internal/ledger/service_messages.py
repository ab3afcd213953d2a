"""Define the messages between daemons, the ledger's service and its log."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandResult


class UnservedReason(enum.Enum):
    """Name why a replica gives no result."""

    NOT_LEADER = "not-leader"
    NO_MAJORITY = "no-majority"
    OVERLOADED = "overloaded"
    LOST = "lost"  # the command may still be committed


class Unserved(NamedTuple):
    """Say that a replica gives no result, and who may lead."""

    reason: UnservedReason
    leader_id: str | None


class LedgerRequest(NamedTuple):
    """Carry a daemon's command; the token comes back in the reply."""

    sender: str
    token: int
    command: Command


class LedgerReply(NamedTuple):
    """Answer a daemon's command."""

    recipient: str
    token: int
    result: CommandResult | Unserved


class EntryCommitted(NamedTuple):
    """Hand over a committed entry of the log, in order."""

    log_index: int
    payload: bytes


class EntryAccepted(NamedTuple):
    """Say at which index a proposal was committed."""

    proposal_id: int
    log_index: int


class EntryUnserved(NamedTuple):
    """Say that a proposal was not, or perhaps not, committed."""

    proposal_id: int
    unserved: Unserved


class StateRestored(NamedTuple):
    """Replace the state by a snapshot of the log."""

    log_index: int
    state: bytes


class ProposeEntry(NamedTuple):
    """Propose an entry of the log."""

    proposal_id: int
    payload: bytes


class CompactLog(NamedTuple):
    """Replace the log up to an index by the state after it."""

    log_index: int
    state: bytes


ServiceInput = (
    LedgerRequest | EntryCommitted | EntryAccepted | EntryUnserved | StateRestored
)
ServiceOutput = ProposeEntry | LedgerReply | CompactLog
