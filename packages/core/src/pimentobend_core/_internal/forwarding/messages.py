"""Messages between the origin of a request and the host of a server.

The origin is the daemon that received the request; the host is the daemon that
the server is registered with. A repeat is a retry or a hedge.
"""

import enum
import math
from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.traffic.shared_budget import BudgetState


class Bid(NamedTuple):
    """How soon and how safely a server could run a route's request; times are in s."""

    server_id: str
    risk: float  # probability that the server fails what it runs
    free_slots: int
    wait_s: float  # expected time until a slot is free
    p90_s: float  # 90th percentile of the route's answer time
    # A repeatable request should be sent to test whether the server answers again.
    wants_trial: bool = False
    takes_repeats: bool = True  # the server's share of the retry budget is not spent
    refusal_share: float = 0.0  # share of recent attempts that the server refused unrun
    is_known: bool = True  # False if the answer time is a guess, for want of answers
    takes_copies: bool = True  # a free slot takes an attempt beside a running one
    # Share of the route's requests whose calls the services behind have room for.
    admit_share: float = 1.0
    call_room: float = 0.0  # slots for the calls of other servers
    call_demand: float = 0.0  # slots that those calls want


class Ask(NamedTuple):
    """Request bids from a daemon's servers of a service, for a route."""

    token: int
    service: str
    route: str
    organisation: str = ""  # that sends the request; empty without one
    is_call: bool = False  # a backend server sends it while it runs another one


class Bids(NamedTuple):
    """The bids of a daemon's servers in answer to an ``Ask``."""

    token: int
    process_id: int
    bids: tuple[Bid, ...]


class Submit(NamedTuple):
    """Submit an attempt that the server runs at most once; times are in seconds."""

    attempt_id: str
    server_id: str
    route: str
    priority: int  # 0 is the most urgent
    is_repeatable: bool
    target_s: float  # target latency; 0 if the route has none
    deadline: float  # clock time
    request_id: str = ""
    is_repeat: bool = False  # an earlier attempt may have reached a server
    fingerprint: str = ""  # empty if the request cannot be recognised
    crash_reports: tuple[CrashReport, ...] = ()  # that its origin has learnt of
    sender: Sender = Sender()
    organisation: str = ""  # that sent the request; empty without one
    is_copy: bool = False  # another attempt of the request is running
    # Requests that it stands for, as some were refused for want of room behind.
    demand: float = 1.0


class Withdraw(NamedTuple):
    """Withdraw an attempt whose answer is no longer needed."""

    attempt_id: str
    only_queued: bool = False  # withdraw it only if it has not started


class EndKind(enum.Enum):
    """How the call to a hosted server ended."""

    GOOD = "good"
    FAILED = "failed"  # a server error, or no answer
    BROKEN = "broken"  # the connection ended before an answer did
    REFUSED = "refused"  # the server states that it did not run the request
    UNREACHABLE = "unreachable"  # no byte was sent
    GIVEN_UP = "given-up"  # the deadline passed or the caller left


class CallEnded(NamedTuple):
    """Report that the call of an attempt ended."""

    attempt_id: str
    kind: EndKind
    has_answered: bool = False  # the server answered, maybe with an error


class CallLost(NamedTuple):
    """Report a call whose end was not reported; its slot is free again."""

    attempt_id: str
    server_id: str
    overdue_s: float  # since the deadline


class ServerProbed(NamedTuple):
    """Report whether anything listens at the address of a server."""

    server_id: str
    incarnation: int
    is_listening: bool


class ServerListed(NamedTuple):
    """Report that a server registered with this daemon, or changed its state."""

    server: Server


class ServerUnlisted(NamedTuple):
    """Report that a server deregistered or that its lease expired."""

    server_id: str


class StartDraining(NamedTuple):
    """Decline all further attempts, as the process is about to stop.

    Queued attempts are declined too unless they may be repeated and will probably end
    by the clock time ``finish_by``.
    """

    finish_by: float = -math.inf


class ServiceSizes(NamedTuple):
    """The number of servers of each service in the fleet."""

    servers: tuple[tuple[str, int], ...]


class LocalRequestFailed(NamedTuple):
    """Report that a request failed that a client on this machine had sent.

    The client may be a backend server whose own answer depends on the request.
    """


class CallMade(NamedTuple):
    """Report a call to a service by a run of one of the routes on a local server."""

    service: str
    routes: tuple[str, ...]
    # Attempt ids of the runs that may have made it, the longest one first.
    runs: tuple[str, ...] = ()
    request_id: str = ""  # of the call
    is_run_known: bool = False  # these runs end with the call


class CallReturned(NamedTuple):
    """Report that a call ended."""

    request_id: str


class CallRoomSeen(NamedTuple):
    """Report the room that a service has for calls, from its bids."""

    service: str
    room: float  # slots for calls, at the servers that made bids
    demand: float  # slots that calls want there


CallNote = CallMade | CallReturned | CallRoomSeen


class HostTick(NamedTuple):
    """Periodic tick: declines late queued attempts and drops old records."""


HostInput = (
    Ask
    | Submit
    | Withdraw
    | CallEnded
    | ServerProbed
    | ReportsReceived
    | EarlierReportsSeen
    | ServerListed
    | ServerUnlisted
    | StartDraining
    | ServiceSizes
    | LocalRequestFailed
    | CallNote
    | HostTick
)


class DeclineReason(enum.Enum):
    """Why an attempt was declined before anything was sent to the server."""

    NO_SERVER = "no-server"
    DRAINING = "draining"
    FULL = "full"  # no room in the queue, or too long a queue for its deadline
    FAILING = "failing"  # the server fails, and the attempt may not be repeated
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    BUDGET = "budget"  # the server's share of the retry budget is spent
    # An extra copy, under the operators' limit, at a server without a free slot.
    NO_FREE_SLOT = "no-free-slot"
    EXTRA_COPIES = "extra-copies"  # the host's part of the operators' limit is spent
    CRASHES_SERVERS = "crashes-servers"  # the request is blocked
    # It may have crashed a server, and so may another one that runs here.
    SUSPECT = "suspect"


class StartCall(NamedTuple):
    """Start the call of an attempt to its server."""

    attempt_id: str
    server: Server


class Declined(NamedTuple):
    """Report that an attempt has not run and will not."""

    attempt_id: str
    reason: DeclineReason
    crash_reports: tuple[CrashReport, ...] = ()
    blocked_s: float = 0.0  # time until the end of the request's block
    budget: BudgetState | None = None  # where a budget or limit is spent


class ProbeServer(NamedTuple):
    """Find out, after ``delay_s`` seconds, whether anything listens at a server."""

    server: Server
    delay_s: float


class CallJudged(NamedTuple):
    """Release a broken call, with what is held against its request."""

    attempt_id: str
    crash_reports: tuple[CrashReport, ...]
    blocked_s: float  # time until the end of the request's block; 0 without one


class DuplicateSubmission(NamedTuple):
    """Report a repeated submission, which gets the outcome of the first one."""

    attempt_id: str


class AdmitShareChanged(NamedTuple):
    """Report the share of a route's requests whose calls have room."""

    route: str
    services: tuple[str, ...]  # that its runs call
    share: float


class CancelCall(NamedTuple):
    """Cancel the running call of a repeatable attempt."""

    attempt_id: str


HostOutput = (
    Bids
    | StartCall
    | Declined
    | DuplicateSubmission
    | CancelCall
    | CallLost
    | AdmitShareChanged
    | ProbeServer
    | CallJudged
    | ServerCrashed
    | CrashOutput
    | LocalRuns
)
