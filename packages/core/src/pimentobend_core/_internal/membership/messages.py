"""Define the messages of the server registry and the fleet's view."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import Withdrawal
from pimentobend_core._internal.traffic.messages import ServersChanged


class Presence(enum.Enum):
    """Name what an instance knows of a server that announced itself to it."""

    LIVE = "live"
    WITHDRAWN = "withdrawn"  # the server said that it leaves
    EXPIRED = "expired"  # the lease ran out


class Rank(NamedTuple):
    """Order the changes of one author; a row never goes back in it."""

    epoch: int  # grows at each start of the author
    sequence: int


class ServerEvent(NamedTuple):
    """Carry one change of a server, as the instance before it saw it."""

    instance_id: str
    rank: Rank
    presence: Presence
    server: Server


class DrainServer(NamedTuple):
    """Give a server no new work, whatever it announces until it restarts."""

    server_id: str


class DrainReplied(NamedTuple):
    """Say whether a server that was to drain announces itself here."""

    server_id: str
    is_known: bool


class RegistryTick(NamedTuple):
    """Let leases expire."""


class AnnouncementAccepted(NamedTuple):
    """Accept an announcement; times are in seconds."""

    server_id: str
    lease_s: float
    renew_after_s: float


class AnnouncementRefused(NamedTuple):
    """Refuse an announcement with every fault in it."""

    server_id: str
    faults: tuple[str, ...]


class WithdrawalAccepted(NamedTuple):
    """Accept a withdrawal, also one that was sent again."""

    server_id: str


class ServerEvents(NamedTuple):
    """Carry changes that came from other instances."""

    events: tuple[ServerEvent, ...]


class ServerForgotten(NamedTuple):
    """Say that an instance no longer speaks of a server."""

    instance_id: str
    server_id: str


class InstanceLost(NamedTuple):
    """Report that an instance gave no answer to round trips."""

    instance_id: str


class InstanceFound(NamedTuple):
    """Report that an instance answers round trips.

    Rows of an ``epoch`` before this one are of an earlier life.
    """

    instance_id: str
    epoch: int = 0


class ViewTick(NamedTuple):
    """Let the servers of lost instances leave the view."""


class ServiceChanged(NamedTuple):
    """Give the live servers of one service."""

    service: str
    change: ServersChanged


RegistryInput = Announcement | Withdrawal | DrainServer | RegistryTick
RegistryOutput = (
    AnnouncementAccepted
    | AnnouncementRefused
    | WithdrawalAccepted
    | DrainReplied
    | ServerEvent
)
ViewInput = (
    ServerEvent
    | ServerEvents
    | ServerForgotten
    | InstanceLost
    | InstanceFound
    | ViewTick
)
