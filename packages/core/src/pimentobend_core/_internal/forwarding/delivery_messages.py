"""Input and output messages of a delivery."""

import enum
import math
from typing import NamedTuple

from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Refusal


class Offers(NamedTuple):
    """Deliver the bids of the servers within a distance."""

    candidates: tuple[Candidate, ...]
    distance: Distance
    recent: tuple[Candidate, ...] = ()  # of servers further away, too old to be used


class AttemptDone(NamedTuple):
    """Report the end of an attempt; ``status`` is 0 without an answer."""

    number: int
    kind: AttemptKind
    status: int
    reason: str = ""
    blocked_s: float = 0.0  # time until the end of the request's block; 0 without one
    is_suspect: bool = False  # the request may have crashed servers
    is_body_spent: bool = False  # no other attempt can send the body


class TimerDue(NamedTuple):
    """Report that the time of the last ``WakeAt`` has come."""


class CallerLeft(NamedTuple):
    """Report that the caller closed its connection."""


class CancelUnsent(NamedTuple):
    """End the request unless a server is running it: this process is about to stop."""


class FinishBy(NamedTuple):
    """Send nothing that this process would probably not see the end of.

    A request that began after ``noticed_at`` is sent only if its deadline passes before
    ``ends_at``, as its run would be lost with this process otherwise. All are times of
    the clock, in seconds.
    """

    at: float  # runs should have ended by then; the time after it is for stragglers
    noticed_at: float = math.inf  # callers with another choice have left by then
    ends_at: float = math.inf  # the answers that are still due are given up


class GiveUp(NamedTuple):
    """End the request whatever is running: this process is ending."""


DeliveryInput = (
    Offers | AttemptDone | TimerDue | CallerLeft | CancelUnsent | FinishBy | GiveUp
)


class AskServers(NamedTuple):
    """Request bids from the daemons within a distance."""

    distance: Distance


class SendAttempt(NamedTuple):
    """Send the request to a server."""

    number: int
    candidate: Candidate
    is_hedge: bool
    is_repeat: bool  # an earlier attempt may have reached a server
    demand: float = 1.0  # requests that it stands for


class CancelAttempt(NamedTuple):
    """Cancel an attempt whose answer is not needed."""

    number: int


class RecallAttempt(NamedTuple):
    """Withdraw an attempt if it still waits for a slot."""

    number: int


class HoldReason(enum.Enum):
    """Why a request or a hedge waits before it is sent."""

    NO_SERVER = "no-server"
    BUDGET = "budget"  # no server has retry budget left
    BUSY = "busy"  # no server has a free slot for a hedge
    COPIES = "extra-copies"  # no server takes an extra copy, under the operators' limit
    COST = "cost"  # the best server costs more than a hedge is worth
    RISK = "risk"  # it is not repeatable, and the best server is likely failing


class Held(NamedTuple):
    """Report that the next attempt waits, and why."""

    reason: HoldReason
    is_hedge: bool


class Deliver(NamedTuple):
    """Deliver the answer of an attempt to the caller."""

    number: int


class Refuse(NamedTuple):
    """Refuse the request."""

    refusal: Refusal


class Stop(NamedTuple):
    """End without an answer, as the caller left."""


class WakeAt(NamedTuple):
    """Request ``TimerDue`` at a clock time; replaces any earlier ``WakeAt``."""

    due: float


DeliveryOutput = (
    AskServers
    | SendAttempt
    | CancelAttempt
    | RecallAttempt
    | Held
    | Deliver
    | Refuse
    | Stop
    | WakeAt
)
