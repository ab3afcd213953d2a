"""Messages of the server registry and the membership view."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import Withdrawal
from pimentobend_core._internal.traffic.messages import ServersChanged


class Presence(enum.Enum):
    """What an instance knows of a server that announced itself to it."""

    LIVE = "live"
    WITHDRAWN = "withdrawn"  # the server withdrew its announcement
    EXPIRED = "expired"  # the lease ran out


class Rank(NamedTuple):
    """Order of one author's changes; a change never replaces one of higher rank."""

    epoch: int  # increases at each start of the author
    sequence: int


class ServerEvent(NamedTuple):
    """A change of a server, as seen by the instance it announced itself to."""

    instance_id: str
    rank: Rank
    presence: Presence
    server: Server


class DrainServer(NamedTuple):
    """Mark a server as draining until it restarts, whatever it announces."""

    server_id: str


class DrainReplied(NamedTuple):
    """Answer to a drain request; whether the server is live at this instance."""

    server_id: str
    is_known: bool


class RegistryTick(NamedTuple):
    """Expire leases that ran out."""


class AnnouncementAccepted(NamedTuple):
    """An announcement was accepted; it must be renewed within the lease."""

    server_id: str
    lease_s: float
    renew_after_s: float


class AnnouncementRefused(NamedTuple):
    """An announcement was refused, with every fault in it."""

    server_id: str
    faults: tuple[str, ...]


class WithdrawalAccepted(NamedTuple):
    """A withdrawal was accepted; one that is sent again is accepted too."""

    server_id: str


class UnknownServerLeft(NamedTuple):
    """A server withdrew that had not announced itself since this process started."""

    server_id: str
    incarnation: int


class ServerEvents(NamedTuple):
    """Changes received from other instances."""

    events: tuple[ServerEvent, ...]


class ServerForgotten(NamedTuple):
    """What an instance had published about a server was dropped."""

    instance_id: str
    server_id: str


class InstanceLost(NamedTuple):
    """An instance stopped answering heartbeats (beacons), or its relay was lost."""

    instance_id: str


class InstanceFound(NamedTuple):
    """An instance answers the heartbeats (beacons) of its relay.

    Its server events of a lower ``epoch`` date from before its latest restart.
    """

    instance_id: str
    epoch: int = 0


class ViewTick(NamedTuple):
    """Remove the servers of instances that have been lost for long enough."""


class InstancesTick(NamedTuple):
    """Check whether the number of instances has changed."""


class InstancesCounted(NamedTuple):
    """The number of instances among which the limits of the fleet are divided."""

    instances: int


class ServiceChanged(NamedTuple):
    """The list of a service's live servers changed."""

    service: str
    change: ServersChanged


class EarlierDrains(NamedTuple):
    """Report servers that left or were leaving before this daemon restarted.

    Each is given by its id and incarnation.
    """

    servers: tuple[tuple[str, int], ...]


RegistryInput = Announcement | Withdrawal | DrainServer | EarlierDrains | RegistryTick
RegistryOutput = (
    AnnouncementAccepted
    | AnnouncementRefused
    | WithdrawalAccepted
    | DrainReplied
    | ServerEvent
    | UnknownServerLeft
)
ViewInput = (
    ServerEvent
    | ServerEvents
    | ServerForgotten
    | InstanceLost
    | InstanceFound
    | ViewTick
)
InstanceCountInput = InstanceFound | InstanceLost | InstancesTick
