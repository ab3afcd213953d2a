"""Messages to and from the task that assigns the slots of a pool's servers.

A slot is a server's capacity to run one request at a time. A ticket is the number
of one attempt to get a slot for a request.
"""

from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool


class Acquire(NamedTuple):
    """Ask for a slot on a backend server; ``deadline`` is in seconds of the clock."""

    ticket: int
    route: str
    organisation: str
    deadline: float
    repeatable: bool
    excluded: frozenset[str]  # servers that earlier attempts used
    is_retry: bool
    is_hedge: bool = False  # refused at once unless there are spare slots


class Granted(NamedTuple):
    """Grant a slot on a backend server to a ticket."""

    ticket: int
    server: Server


class Rejected(NamedTuple):
    """Refuse a ticket; nothing was sent to a server."""

    ticket: int
    refusal: Refusal


class Abandon(NamedTuple):
    """Withdraw a ticket, whether it is queued or in flight."""

    ticket: int


class ConfigurePool(NamedTuple):
    """Apply a new version of the pool's configuration."""

    pool: Pool


class ServersChanged(NamedTuple):
    """Replace the pool's list of live backend servers."""

    servers: tuple[Server, ...]


class HealthChanged(NamedTuple):
    """Replace the weights of the servers that are not fully healthy.

    A weight is a share of the normal traffic: 0 for an ejected server, rising
    to 1 for a returning one. A server that is not listed has weight 1.
    """

    weights: tuple[tuple[str, float], ...]


class TrafficTick(NamedTuple):
    """Refuse queued requests that would miss their deadline, then grant free slots."""


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
