"""Define the messages between daemons, the ledger's service and its log."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandResult


class UnservedReason(enum.Enum):
    """Why a replica gave a command no result."""

    NOT_LEADER = "not-leader"
    NO_MAJORITY = "no-majority"
    OVERLOADED = "overloaded"
    LOST = "lost"  # leadership was lost; the command may still be committed


class Unserved(NamedTuple):
    """A replica gave a command no result.

    ``leader_id`` is the leader that the replica follows, if it knows one.
    """

    reason: UnservedReason
    leader_id: str | None


class LedgerRequest(NamedTuple):
    """A daemon's command; the token comes back in the reply."""

    sender: str
    token: int
    command: Command


class LedgerReply(NamedTuple):
    """The reply to a daemon's command."""

    recipient: str
    token: int
    result: CommandResult | Unserved


class EntryCommitted(NamedTuple):
    """Deliver a committed entry of the log, in order."""

    log_index: int
    payload: bytes


class EntryAccepted(NamedTuple):
    """Report the index at which a proposal was committed."""

    proposal_id: int
    log_index: int


class EntryUnserved(NamedTuple):
    """Report that a proposal was not committed, or with ``LOST`` may not have been."""

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
    """Replace the log up to and including ``log_index`` by a snapshot of the state."""

    log_index: int
    state: bytes


ServiceInput = (
    LedgerRequest | EntryCommitted | EntryAccepted | EntryUnserved | StateRestored
)
ServiceOutput = ProposeEntry | LedgerReply | CompactLog
