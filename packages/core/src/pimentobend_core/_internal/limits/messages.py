"""Messages about tokens, each of which admits one request of an organisation.

Durations are in seconds. Clocks are never compared between processes.
"""

import enum
from typing import Annotated
from typing import NamedTuple

import msgspec

from pimentobend_core._internal.configuration.messages import Version

MAX_DURATION_S = 3600.0
MAX_TOKENS = 1_000_000

Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class Verdict(enum.Enum):
    """Whether a request may be sent, as far as its organisation's limit goes."""

    GRANTED = "granted"
    OVER_LIMIT = "over-limit"
    UNKNOWN = "unknown"  # no control instance answered in time


class TokenAsk(NamedTuple):
    """A daemon's question to a control instance for one token."""

    token: int
    organisation: str


class TokenReply(NamedTuple):
    """A control instance's answer.

    A granted token is valid for ``valid_s`` from when its question was sent. If it is
    not granted, the next one is due in ``retry_after_s``. Unless ``is_known``, the
    leader is too new to tell whether the organisation has reached its limit.
    """

    token: int
    is_granted: bool
    retry_after_s: Duration
    valid_s: Duration = 0.0
    is_known: bool = True


class Want(NamedTuple):
    """The tokens of an organisation that a control instance lacks."""

    organisation: str
    needed: Count  # for requests that wait
    extra: Count = 0  # for requests that are expected


class Demand(NamedTuple):
    """A control instance's question to the leader of the configuration log."""

    number: int
    wants: tuple[Want, ...]


class Grant(NamedTuple):
    """The tokens that an organisation is granted.

    They are valid for ``valid_s`` from when the demand was sent. ``next_s`` is the
    time until the next token, and 0 if all that were needed are granted. ``is_known``
    is as in ``TokenReply``.
    """

    organisation: str
    tokens: Count
    valid_s: Duration
    next_s: Duration = 0.0
    is_known: bool = True


class Grants(NamedTuple):
    """The leader's answer to the demand with the same number."""

    number: int
    grants: tuple[Grant, ...]


# Inputs and outputs of the asking daemon.


class TokenWanted(NamedTuple):
    """A request of this daemon needs a token by ``give_up_at`` (seconds)."""

    ticket: int
    organisation: str
    give_up_at: float


class TokenWithdrawn(NamedTuple):
    """A request of this daemon needs its token no longer."""

    ticket: int


class ReplyReceived(NamedTuple):
    """A control instance answered."""

    sender: str
    reply: TokenReply


class ControlsChanged(NamedTuple):
    """The addresses of the control instances, in groups from near to far."""

    groups: tuple[tuple[str, ...], ...]


class AskerTick(NamedTuple):
    """The time to ask again, or to give up."""


class WakeAsker(NamedTuple):
    """Request for a tick after a delay."""

    delay_s: float


class SendAsk(NamedTuple):
    """A question to send to a control instance."""

    recipient: str
    ask: TokenAsk


class TokenDecided(NamedTuple):
    """What became of a request's token; it may be used before ``valid_until``."""

    ticket: int
    verdict: Verdict
    retry_after_s: float = 0.0
    valid_until: float = 0.0


AskerInput = TokenWanted | TokenWithdrawn | ReplyReceived | ControlsChanged | AskerTick
AskerOutput = SendAsk | TokenDecided | WakeAsker


# Inputs and outputs of the control instance that answers daemons.


class AskReceived(NamedTuple):
    """A daemon asked for a token."""

    sender: str
    ask: TokenAsk


class GrantsReceived(NamedTuple):
    """The leader answered."""

    grants: Grants


class LeaderKnown(NamedTuple):
    """The address of the leader; None while none is known."""

    address: str | None


class StockTick(NamedTuple):
    """The time to ask the leader."""


class StockSweep(NamedTuple):
    """The time to forget idle organisations."""


class WakeStock(NamedTuple):
    """Request for a message after a delay."""

    delay_s: float
    message: StockTick | StockSweep


class SendReply(NamedTuple):
    """An answer to send to a daemon."""

    recipient: str
    reply: TokenReply


class SendDemand(NamedTuple):
    """A question to send to the leader."""

    recipient: str
    demand: Demand


StockInput = AskReceived | GrantsReceived | LeaderKnown | StockTick | StockSweep
StockOutput = SendReply | SendDemand | WakeStock


# Inputs and outputs of the leader.


class LeadershipChanged(NamedTuple):
    """The leader or its term changed; ``is_own`` if this process leads now."""

    is_own: bool


class LeadershipProven(NamedTuple):
    """A majority confirmed this process as leader after ``asked_at`` (seconds).

    ``version`` was the newest one then.
    """

    asked_at: float
    version: Version


class DemandReceived(NamedTuple):
    """A control instance asked for tokens."""

    sender: str
    demand: Demand


class OwnerSweep(NamedTuple):
    """The time to drop idle buckets."""


class WakeOwner(NamedTuple):
    """Request for a sweep after a delay."""

    delay_s: float


class SendGrants(NamedTuple):
    """An answer to send to a control instance."""

    recipient: str
    grants: Grants


class GrantingChanged(NamedTuple):
    """This process began or ceased to grant tokens."""

    is_granting: bool


class OverLimitChanged(NamedTuple):
    """An organisation began or ceased to ask for more than its limit."""

    organisation: str
    is_over: bool


OwnerInput = LeadershipChanged | LeadershipProven | DemandReceived | OwnerSweep
OwnerOutput = SendGrants | GrantingChanged | OverLimitChanged | WakeOwner
