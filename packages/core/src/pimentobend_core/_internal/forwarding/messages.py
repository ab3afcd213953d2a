"""Define the messages between the origin of a request and its server's daemon."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.server import Server


class Bid(NamedTuple):
    """Tell what a request may expect of a server; times are in seconds."""

    server_id: str
    risk: float  # probability that the server does not answer
    free_slots: int
    wait_s: float  # until a slot is free
    usual_s: float  # in which nine of ten of the route's requests are answered
    wants_trial: bool = False  # a repeatable request should try whether it answers
    takes_repeats: bool = True  # its part of the retry budget is not spent


class Ask(NamedTuple):
    """Ask a daemon what its servers of a service offer to a route."""

    token: int
    service: str
    route: str


class Bids(NamedTuple):
    """Answer an ``Ask``."""

    token: int
    process_id: int
    bids: tuple[Bid, ...]


class Submit(NamedTuple):
    """Ask for a server to run an attempt once; times are in seconds."""

    attempt_id: str
    server_id: str
    route: str
    priority: int  # 0 is the most urgent
    is_repeatable: bool
    target_s: float  # 0 where the route states none
    deadline: float  # of the clock
    request_id: str = ""
    is_repeat: bool = False  # an earlier attempt may have reached a server


class Withdraw(NamedTuple):
    """Take back an attempt that nobody waits for, or that still waits itself."""

    attempt_id: str
    only_queued: bool = False  # what runs goes on


class EndKind(enum.Enum):
    """Name how the call to a hosted server ended."""

    GOOD = "good"
    FAILED = "failed"  # an error of the server, a broken answer or none
    REFUSED = "refused"  # the server states that it did not run the work
    UNREACHABLE = "unreachable"  # no byte was sent
    GIVEN_UP = "given-up"  # the deadline came or the caller left


class CallEnded(NamedTuple):
    """Report the end of the call of an attempt."""

    attempt_id: str
    kind: EndKind


class ServerListed(NamedTuple):
    """Report a server beside this daemon, or a change of its state."""

    server: Server


class ServerUnlisted(NamedTuple):
    """Report a server that left or whose lease ran out."""

    server_id: str


class StopTaking(NamedTuple):
    """Decline all further work, as the process is about to stop."""


class ServiceSizes(NamedTuple):
    """Give the number of servers of each service in the fleet."""

    servers: tuple[tuple[str, int], ...]


class HostTick(NamedTuple):
    """Let queued attempts expire."""


HostInput = (
    Ask
    | Submit
    | Withdraw
    | CallEnded
    | ServerListed
    | ServerUnlisted
    | StopTaking
    | ServiceSizes
    | HostTick
)


class DeclineReason(enum.Enum):
    """Name why an attempt was declined; nothing was sent."""

    NO_SERVER = "no-server"
    DRAINING = "draining"
    FULL = "full"
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    BUDGET = "budget"  # too many repeats reach the service


class StartCall(NamedTuple):
    """Send an attempt to its server now."""

    attempt_id: str
    server: Server


class Declined(NamedTuple):
    """Decline an attempt; it has not run and will not."""

    attempt_id: str
    reason: DeclineReason


class Joined(NamedTuple):
    """Report an attempt that was submitted before; its outcome counts."""

    attempt_id: str


class CancelCall(NamedTuple):
    """Break off the call of an attempt that may be repeated."""

    attempt_id: str


HostOutput = Bids | StartCall | Declined | Joined | CancelCall
