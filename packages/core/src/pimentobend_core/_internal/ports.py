"""Interfaces between the request pipeline and the tasks and sockets that it uses."""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Result

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted


class Body(abc.ABC):
    """A request body that is read in chunks of bounded size."""

    @property
    @abc.abstractmethod
    def length(self) -> int | None:
        """Return the declared length in bytes, or None if the body is chunked."""

    @property
    @abc.abstractmethod
    def can_replay(self) -> bool:
        """Return whether ``chunks`` may be called again."""

    @property
    def is_spent(self) -> bool:
        """Return whether the body can no longer be read from its start."""
        return False

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the chunks of the body."""


class AnswerBody(abc.ABC):
    """An answer's body that is read in chunks of bounded size."""

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the chunks; raise if the answer ends early."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the connection, or close it if the answer was not read to its end."""


class AttemptResult(NamedTuple):
    """The result of an attempt; ``latency_s`` is the time to the answer's head."""

    kind: AttemptKind
    status: int
    headers: Headers
    body: AnswerBody | None
    latency_s: float
    was_reused: bool
    load: LoadReport | None
    is_broken: bool = False  # the connection ended before an answer did
    crash_reports: tuple[CrashReport, ...] = ()  # what is held against the request
    blocked_s: float = 0.0  # time until the end of the request's block; 0 without one
    has_server_ended: bool = False  # it broke, and the server accepts no other


class Claim(NamedTuple):
    """A durable claim in the ledger on the right to run a request."""

    key: str
    claim_id: str


class ClockPort(abc.ABC):
    """Access to the runtime's clock."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""


class TablesPort(abc.ABC):
    """Access to the version of the routing tables that this daemon uses."""

    @abc.abstractmethod
    def match(self, head: RequestHead) -> Route | None:
        """Return the route for a request, or None."""

    @abc.abstractmethod
    def current(self) -> Tables:
        """Return the tables that this daemon uses."""

    @abc.abstractmethod
    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds the API key of a digest, or None."""

    def find_limit(self, organisation: str) -> Limit | None:
        """Return the limit of an organisation by its name; None without one."""
        return None

    def await_first(self, timeout_s: float) -> bool:
        """Wait until this daemon has tables, and return whether it has."""
        return self.current().log_index > 0


class ProofPort(abc.ABC):
    """Access to the proof that the tables in force are the newest."""

    @abc.abstractmethod
    def is_proven(self) -> bool:
        """Return whether the tables were proven to be the newest recently enough."""

    @abc.abstractmethod
    def await_proof(self, timeout_s: float) -> bool:
        """Wait for a proof if one may come soon; return whether there is one."""


class SendersPort(abc.ABC):
    """Knows what the servers on this machine run, and so may be calling."""

    @abc.abstractmethod
    def judge(self, deadline: float, *, is_local: bool = False) -> Sender:
        """Return what is known of the sender of a request that has come now.

        ``deadline`` is the sender's, in seconds of the clock.
        """


class BlocksPort(abc.ABC):
    """Access to the requests that are blocked because they crash servers."""

    @abc.abstractmethod
    def find_block(self, fingerprint: str) -> Block | None:
        """Return the block of a request that is in force now, or None."""

    @abc.abstractmethod
    def note_refused(self, request_id: str, block: Block) -> None:
        """Report that a request was refused because of its block."""


class Permission(NamedTuple):
    """Whether a request is within its organisation's limit.

    Otherwise a request has a chance again after ``retry_after_s`` (seconds).
    """

    verdict: Verdict
    retry_after_s: float = 0.0


class LimitsPort(abc.ABC):
    """Access to the tokens that admit requests within their organisations' limits."""

    @abc.abstractmethod
    def acquire(self, organisation: str, timeout_s: float) -> Permission:
        """Wait at most ``timeout_s`` seconds for a token and use it."""


class TrafficPort(abc.ABC):
    """Access to the tasks that assign each pool's servers to requests."""

    @abc.abstractmethod
    def acquire(self, pool: str, message: Acquire) -> Result[Granted, Refusal]:
        """Wait for a slot on a backend server, at most until the deadline."""

    @abc.abstractmethod
    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report that an attempt begins."""

    @abc.abstractmethod
    def ended(self, message: AttemptEnded) -> None:
        """Report that an attempt ended, which frees its slot."""

    @abc.abstractmethod
    def release(self, pool: str, ticket: int) -> None:
        """Give back the slot of an attempt that is not made."""


class SuspectsPort(BlocksPort):
    """Access to the task that finds the requests that crash servers."""

    @abc.abstractmethod
    def started(self, run: Run, head: RequestHead) -> None:
        """Report that a request is sent to a server."""

    @abc.abstractmethod
    def ended(self, run: Run, result: AttemptResult) -> None:
        """Report how the attempt ended; if its server has too, once that is weighed."""


class LedgerPort(abc.ABC):
    """Access to the ledger, which records the requests that may run only once."""

    @abc.abstractmethod
    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Record a claim durably, or refuse the request, stating whether it ran."""

    @abc.abstractmethod
    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Record the outcome of a claim."""


class BackendPort(abc.ABC):
    """Sends requests to backend servers."""

    @abc.abstractmethod
    def will_reuse(self, server: Server) -> bool:
        """Return whether a repeatable request would now reuse a connection."""

    @abc.abstractmethod
    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Make one attempt, at most until the deadline in ``head``.

        A request that may not be repeated is sent over a new connection. A kept
        connection may be dead, and a failure would leave the outcome unknown.
        """
