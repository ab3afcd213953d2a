"""Define the commands of the ledger and their results.

"Work" is what a server does for a request that has an idempotency key. A daemon
claims the key before it sends the request, and settles the claim once it knows
the outcome. The ledger stores a digest in place of the key. Log time is explained
at ``CommandBatch``.
"""

import enum
from typing import NamedTuple

from pimentobend_core._internal.exceptions import CoreError
from pimentobend_core._internal.models.request import Ran


class LedgerError(CoreError):
    """Base of the errors that the ledger raises."""


class LedgerKey(NamedTuple):
    """An idempotency key of an organisation.

    A request that is repeated with the same key must not run twice.
    """

    organisation: str
    key: str


class ClaimId(NamedTuple):
    """The id of one claim, unique in the whole fleet."""

    instance_id: str
    epoch: int  # increases at each start of the instance
    sequence: int


class ClaimWork(NamedTuple):
    """Claim a key before its request is sent to a server."""

    digest: bytes  # of the key, from ``digest_key``
    claim_id: ClaimId
    fingerprint: bytes  # digest of the request, to detect a key reused for another
    outcome_timeout_s: float  # seconds within which an outcome is expected


class SettleWork(NamedTuple):
    """Record the outcome of a claim; ``NOT_RUN`` releases the key."""

    digest: bytes  # of the key
    claim_id: ClaimId
    ran: Ran  # whether the request ran: yes, no or unknown
    status: int  # HTTP status of the answer; 0 if there was none


class LookUpWork(NamedTuple):
    """Ask what the ledger knows about a key."""

    digest: bytes  # of the key


class WorkState(enum.Enum):
    """What the ledger knows about a key."""

    FREE = "free"  # never claimed, or its entry has expired
    RELEASED = "released"  # was claimed, but its request did not run
    CLAIMED = "claimed"  # an outcome is still expected
    RAN = "ran"
    UNKNOWN = "unknown"  # its request may have run, but no outcome is known


class ClaimRefusal(enum.Enum):
    """Why a claim was refused."""

    IN_PROGRESS = "in-progress"  # another claim of the key still expects its outcome
    ALREADY_RAN = "already-ran"
    UNKNOWN = "unknown"  # an earlier request with the key may have run
    KEY_REUSED = "key-reused"  # the key belongs to a different request
    CLAIM_ENDED = "claim-ended"  # this very claim was settled or released before


class Claimed(NamedTuple):
    """A claim was granted."""

    claim_id: ClaimId


class ClaimRefused(NamedTuple):
    """A claim was refused.

    ``status`` is the HTTP status of the earlier request that ran, or 0.
    """

    reason: ClaimRefusal
    status: int


class Settled(NamedTuple):
    """The outcome of a claim is recorded, by this command or an earlier one."""

    claim_id: ClaimId


class WorkFound(NamedTuple):
    """What the ledger knows about a key.

    ``age_s`` is the log time since the last change of the key's state.
    """

    state: WorkState
    status: int  # HTTP status of the answer; 0 if there is none
    instance_id: str  # the instance that claimed the key
    age_s: float


Command = ClaimWork | SettleWork | LookUpWork
CommandResult = Claimed | ClaimRefused | Settled | WorkFound


class CommandBatch(NamedTuple):
    """The commands of one log entry.

    ``elapsed_s`` is the time on the leader's clock since it proposed its last
    entry. Log time is the sum of ``elapsed_s`` over all entries, so that a wrong
    wall clock cannot expire keys.
    """

    elapsed_s: float
    commands: tuple[Command, ...]
