"""Messages between observers, the floor owner and other parts of their processes.

An observer is a daemon that scores a pool's servers from its own attempts on
them. The floor is the share of a service's servers that ejections must leave in
use. The floor owner is the control replica that decides the ejections, and it
leases them to the observers by grants that expire.
"""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged


class Reason(enum.Enum):
    """The main kind of evidence against a backend server."""

    SLOW = "slow"
    FAILING = "failing"
    SILENT = "silent"


class HealthTick(NamedTuple):
    """Make an observer decay scores, raise returning weights and expire leases."""


class AttemptStarted(NamedTuple):
    """An attempt started; lets an observer detect silence before the timeout."""

    ticket: int
    route: str
    server_id: str
    was_reused: bool  # the connection had already served a request


class ServerEvidence(NamedTuple):
    """One observer's score of a server; from 1 on the observer avoids it."""

    server_id: str
    incarnation: int
    score: float  # compared with the other servers', from 0 to SCORE_LIMIT
    age_s: float  # seconds since the last attempt that gave evidence
    reason: Reason


class EvidenceReported(NamedTuple):
    """An observer's recent evidence and its request to renew its ejections.

    ``asked_at`` is in seconds of the observer's clock and is returned in the
    grant. ``term`` and ``sequence`` identify the last grant that it applied.
    """

    pool: str
    service: str
    observer: str
    asked_at: float
    term: int
    sequence: int
    servers: tuple[ServerEvidence, ...]


class Ejection(NamedTuple):
    """Take one incarnation of a server out of use."""

    server_id: str
    incarnation: int
    reason: Reason


class EjectionsGranted(NamedTuple):
    """Lease the complete list of a service's ejections to one observer.

    The lease runs ``lease_s`` seconds from ``asked_at`` on the observer's
    clock. The oldest ejection comes first.
    """

    pool: str
    service: str
    observer: str
    term: int
    sequence: int
    asked_at: float
    lease_s: float
    ejections: tuple[Ejection, ...]
    report_now: bool  # the owner needs current evidence on a suspect server


class OwnershipTaken(NamedTuple):
    """This process became the floor owner in a new term."""

    term: int


class OwnershipConfirmed(NamedTuple):
    """A majority confirmed the term in a round that began at ``confirmed_at`` (s)."""

    term: int
    confirmed_at: float


class OwnershipLost(NamedTuple):
    """This process is no longer the floor owner and must stop granting."""


class ConfigurePools(NamedTuple):
    """Replace the configuration of all pools."""

    pools: tuple[Pool, ...]


class ServiceServersChanged(NamedTuple):
    """Replace a service's list of live backend servers."""

    service: str
    servers: tuple[Server, ...]


class ObserverLeft(NamedTuple):
    """A daemon left on purpose; it must not count as cut off."""

    observer: str


class FloorTick(NamedTuple):
    """Make the floor owner end expired ejections and start those agreed on."""


class EjectionStarted(NamedTuple):
    """An ejection started (for logs and metrics); it lasts ``timeout_s`` seconds."""

    service: str
    ejection: Ejection
    observers: int
    timeout_s: float


class EjectionEnded(NamedTuple):
    """An ejection ended (for logs and metrics)."""

    service: str
    server_id: str


class EjectionWithheld(NamedTuple):
    """An agreed ejection was withheld (for logs and metrics).

    Either the floor does not allow it, or so many servers are suspect that
    the cause is probably common to all.
    """

    service: str
    server_id: str
    cause: str  # "floor" or "common-cause"


HealthInput = (
    AttemptStarted
    | AttemptEnded
    | ServersChanged
    | ConfigurePool
    | EjectionsGranted
    | HealthTick
)
HealthOutput = HealthChanged | EvidenceReported
FloorInput = (
    OwnershipTaken
    | OwnershipConfirmed
    | OwnershipLost
    | ConfigurePools
    | ServiceServersChanged
    | EvidenceReported
    | ObserverLeft
    | FloorTick
)
FloorOutput = EjectionsGranted | EjectionStarted | EjectionEnded | EjectionWithheld
