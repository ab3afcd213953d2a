"""Messages of a daemon that observes servers through its own attempts on them."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import CrashInput
from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.models.server import Server


class Run(NamedTuple):
    """A request that is sent to a server; ``ticket`` names the attempt."""

    ticket: int
    fingerprint: str
    server: Server


class RunOutcome(enum.Enum):
    """What the end of a run says of the request."""

    SUCCEEDED = "succeeded"
    SERVER_ENDED = "server-ended"  # it was cut off, and the server accepts no other
    OTHER = "other"


class RunStarted(NamedTuple):
    """Report a run that starts; ``request`` describes it to operators."""

    run: Run
    request: str


class RunEnded(NamedTuple):
    """Report a run that ended."""

    run: Run
    outcome: RunOutcome


class ReadyServers(NamedTuple):
    """Replace a pool's servers that take requests; others end on purpose."""

    pool: str
    server_ids: frozenset[str]


class EndWeighed(NamedTuple):
    """Reply that the end of a run's server was weighed."""

    ticket: int


class CrashSeen(NamedTuple):
    """Report a crash of a server, and the requests that ran on it from here."""

    crash_id: str
    server_id: str
    running: int
    fingerprints: tuple[str, ...]
    requests: tuple[str, ...]


ObserverInput = RunStarted | RunEnded | ReadyServers | CrashInput
ObserverOutput = EndWeighed | CrashSeen | CrashOutput
