"""Define the commands of the ledger and their results."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.exceptions import CoreError
from pimentobend_core._internal.models.request import Ran


class LedgerError(CoreError):
    """Report a fault of the ledger."""


class LedgerKey(NamedTuple):
    """Name work that may not be repeated; a key belongs to an organisation."""

    organisation: str
    key: str


class ClaimId(NamedTuple):
    """Name one claim; no two claims of the fleet have the same."""

    instance_id: str
    epoch: int  # grows at each start of the instance
    sequence: int


class ClaimWork(NamedTuple):
    """Claim a key before its work is sent."""

    digest: bytes
    claim_id: ClaimId
    fingerprint: bytes  # of the request, so that a key names one request only
    busy_s: float  # seconds within which an outcome is to be expected


class SettleWork(NamedTuple):
    """Record the outcome of a claim; ``NOT_RUN`` releases the key."""

    digest: bytes
    claim_id: ClaimId
    ran: Ran
    status: int  # 0 without an answer


class LookUpWork(NamedTuple):
    """Ask what is known of a key."""

    digest: bytes


class WorkState(enum.Enum):
    """Name what the ledger knows of a key."""

    FREE = "free"  # never claimed, or expired
    RELEASED = "released"  # claimed, and truly not run
    CLAIMED = "claimed"  # an outcome is to be expected
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimRefusal(enum.Enum):
    """Name why a claim was refused."""

    IN_PROGRESS = "in-progress"
    ALREADY_RAN = "already-ran"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"  # the key names another request
    CLAIM_ENDED = "claim-ended"  # this very claim was settled before


class Claimed(NamedTuple):
    """Give the key to a claim."""

    claim_id: ClaimId


class ClaimRefused(NamedTuple):
    """Refuse a claim; ``status`` is that of the work that ran, or 0."""

    reason: ClaimRefusal
    status: int


class Settled(NamedTuple):
    """Say that an outcome is recorded, or was before."""

    claim_id: ClaimId


class WorkFound(NamedTuple):
    """Tell what is known of a key; the age is in seconds of log time."""

    state: WorkState
    status: int
    instance_id: str  # through which the key was claimed
    age_s: float


Command = ClaimWork | SettleWork | LookUpWork
CommandResult = Claimed | ClaimRefused | Settled | WorkFound


class CommandBatch(NamedTuple):
    """Hold the commands of one log entry.

    ``elapsed_s`` is the time that passed on the leader's clock since its
    last entry. Log time is the sum of it, so a wrong wall clock ages nothing.
    """

    elapsed_s: float
    commands: tuple[Command, ...]
