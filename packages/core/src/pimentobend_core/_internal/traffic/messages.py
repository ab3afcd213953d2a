"""Define the messages that the owner of a pool's traffic takes and gives."""

from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool


class Acquire(NamedTuple):
    """Ask for a backend server; ``deadline`` is in seconds of the clock."""

    ticket: int
    route: str
    organisation: str
    deadline: float
    repeatable: bool
    excluded: frozenset[str]  # servers that earlier attempts used
    is_retry: bool
    is_hedge: bool = False  # refused at once unless slots are to spare


class Granted(NamedTuple):
    """Give a backend server's slot to a ticket."""

    ticket: int
    server: Server


class Rejected(NamedTuple):
    """Refuse a ticket; nothing was sent."""

    ticket: int
    refusal: Refusal


class Abandon(NamedTuple):
    """Take back a ticket that its caller no longer waits for."""

    ticket: int


class ConfigurePool(NamedTuple):
    """Put a version of the pool's row in force."""

    pool: Pool


class ServersChanged(NamedTuple):
    """Give the pool's whole list of live backend servers."""

    servers: tuple[Server, ...]


class HealthChanged(NamedTuple):
    """Give the weights of servers that are not wholly healthy.

    A weight is a share of the normal traffic: 0 for an ejected server, up
    to 1 along the ramp of a returning one. A server not named has 1.
    """

    weights: tuple[tuple[str, float], ...]


class TrafficTick(NamedTuple):
    """Let queued requests expire."""


TrafficInput = (
    Acquire
    | Abandon
    | AttemptEnded
    | ConfigurePool
    | ServersChanged
    | HealthChanged
    | TrafficTick
)
TrafficOutput = Granted | Rejected
