"""Define the commands of the ledger and their results."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.exceptions import CoreError
from pimentobend_core._internal.models.request import Ran


class LedgerError(CoreError):
    """The ledger failed."""


class LedgerKey(NamedTuple):
    """An idempotency key of an organisation; its work must not run twice."""

    organisation: str
    key: str


class ClaimId(NamedTuple):
    """The id of one claim, unique in the whole fleet."""

    instance_id: str
    epoch: int  # increases at each start of the instance
    sequence: int


class ClaimWork(NamedTuple):
    """Claim a key before its work is sent."""

    digest: bytes
    claim_id: ClaimId
    fingerprint: bytes  # of the request, to detect a key reused for another one
    outcome_timeout_s: float  # seconds within which an outcome is expected


class SettleWork(NamedTuple):
    """Record the outcome of a claim; ``NOT_RUN`` releases the key."""

    digest: bytes
    claim_id: ClaimId
    ran: Ran
    status: int  # 0 if there was no answer


class LookUpWork(NamedTuple):
    """Ask what the ledger knows about a key."""

    digest: bytes


class WorkState(enum.Enum):
    """What the ledger knows about a key."""

    FREE = "free"  # never claimed, or expired
    RELEASED = "released"  # claimed, and certainly not run
    CLAIMED = "claimed"  # an outcome is expected
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimRefusal(enum.Enum):
    """Why a claim was refused."""

    IN_PROGRESS = "in-progress"
    ALREADY_RAN = "already-ran"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"  # the key was used for another request
    CLAIM_ENDED = "claim-ended"  # this same claim was settled before


class Claimed(NamedTuple):
    """A claim was granted."""

    claim_id: ClaimId


class ClaimRefused(NamedTuple):
    """A claim was refused; ``status`` is that of the work that ran, or 0."""

    reason: ClaimRefusal
    status: int


class Settled(NamedTuple):
    """An outcome is recorded, now or by an earlier command."""

    claim_id: ClaimId


class WorkFound(NamedTuple):
    """What the ledger knows about a key; the age is in seconds of log time."""

    state: WorkState
    status: int
    instance_id: str  # the instance that claimed the key
    age_s: float


Command = ClaimWork | SettleWork | LookUpWork
CommandResult = Claimed | ClaimRefused | Settled | WorkFound


class CommandBatch(NamedTuple):
    """The commands of one log entry.

    ``elapsed_s`` is the time on the leader's clock since its last entry. Log
    time is the sum of these, so a wrong wall clock cannot expire entries.
    """

    elapsed_s: float
    commands: tuple[Command, ...]
