"""Define the messages of the health flow."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged


class Reason(enum.Enum):
    """Name what the evidence against a backend server consists of."""

    SLOW = "slow"
    FAILING = "failing"
    SILENT = "silent"


class HealthTick(NamedTuple):
    """Let scores fade, ramps rise and leases expire."""


class AttemptStarted(NamedTuple):
    """Report an attempt in flight, so that silence shows before its timeout."""

    ticket: int
    route: str
    server_id: str
    was_reused: bool  # the connection had served before


class ServerEvidence(NamedTuple):
    """Carry one observer's score of a server; 1 is enough to avoid it locally."""

    server_id: str
    incarnation: int
    score: float  # relative to the server's peers, 0 to SCORE_LIMIT
    age_s: float  # since an attempt last showed anything
    reason: Reason


class EvidenceReported(NamedTuple):
    """Report what an observer saw lately; renew its ejections.

    ``asked_at`` is in seconds of the observer's clock and comes back in the
    grant, ``term`` and ``sequence`` name the last grant that it applied.
    """

    pool: str
    service: str
    observer: str
    asked_at: float
    term: int
    sequence: int
    servers: tuple[ServerEvidence, ...]


class Ejection(NamedTuple):
    """Take one start of a server out of use."""

    server_id: str
    incarnation: int
    reason: Reason


class EjectionsGranted(NamedTuple):
    """Lease a service's whole list of ejections to one observer.

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
    report_now: bool  # the owner weighs a suspicion


class OwnershipTaken(NamedTuple):
    """Make this process the owner of the floor in a new term."""

    term: int


class OwnershipConfirmed(NamedTuple):
    """Confirm the term by a majority round that began at ``confirmed_at`` (s)."""

    term: int
    confirmed_at: float


class OwnershipLost(NamedTuple):
    """Stop granting."""


class ConfigurePools(NamedTuple):
    """Put a version of all pools in force."""

    pools: tuple[Pool, ...]


class ServiceServersChanged(NamedTuple):
    """Give a service's whole list of live backend servers."""

    service: str
    servers: tuple[Server, ...]


class ObserverLeft(NamedTuple):
    """Forget a daemon that withdrew."""

    observer: str


class FloorTick(NamedTuple):
    """Let ejections end and evidence settle."""


class EjectionStarted(NamedTuple):
    """Record an ejection for logs and metrics; the time out is in seconds."""

    service: str
    ejection: Ejection
    observers: int
    timeout_s: float


class EjectionEnded(NamedTuple):
    """Record the end of an ejection for logs and metrics."""

    service: str
    server_id: str


class EjectionWithheld(NamedTuple):
    """Record that the floor or a common cause forbids an ejection."""

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
