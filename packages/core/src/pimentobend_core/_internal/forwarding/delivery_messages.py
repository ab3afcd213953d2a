"""Define what a delivery takes and asks for."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Refusal


class Offers(NamedTuple):
    """Give the servers that take work up to a distance."""

    candidates: tuple[Candidate, ...]
    distance: Distance


class AttemptDone(NamedTuple):
    """Report the end of an attempt; ``status`` is 0 without an answer."""

    number: int
    kind: AttemptKind
    status: int
    reason: str = ""


class TimerDue(NamedTuple):
    """Report that the time asked for has come."""


class CallerLeft(NamedTuple):
    """Report that nobody waits for the answer."""


class EndWaiting(NamedTuple):
    """End what has not reached a server, as the process is about to stop."""


DeliveryInput = Offers | AttemptDone | TimerDue | CallerLeft | EndWaiting


class AskServers(NamedTuple):
    """Ask the daemons up to a distance what their servers offer."""

    distance: Distance


class SendAttempt(NamedTuple):
    """Send the request to a server."""

    number: int
    candidate: Candidate
    is_hedge: bool
    is_repeat: bool  # an earlier attempt may have reached a server


class CancelAttempt(NamedTuple):
    """Break off an attempt whose answer is not needed."""

    number: int


class RecallAttempt(NamedTuple):
    """Take back an attempt if it still waits for a slot."""

    number: int


class HoldReason(enum.Enum):
    """Name why a request or a hedge waits before it is sent."""

    NO_SERVER = "no-server"
    BUDGET = "budget"  # no server takes repeats
    BUSY = "busy"  # no server has a free slot for a hedge
    COST = "cost"  # the best server costs more than a hedge is worth
    RISK = "risk"  # unsafe work, and every server more likely fails


class Held(NamedTuple):
    """Report that the next attempt waits."""

    reason: HoldReason
    is_hedge: bool


class Deliver(NamedTuple):
    """Give the caller the answer of an attempt."""

    number: int


class Refuse(NamedTuple):
    """Give the caller a refusal."""

    refusal: Refusal


class Stop(NamedTuple):
    """End without an answer, as nobody waits for one."""


class WakeAt(NamedTuple):
    """Ask for ``TimerDue`` at a time of the clock; a later one replaces it."""

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
