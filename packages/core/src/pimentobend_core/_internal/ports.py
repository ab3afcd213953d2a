"""Define what the request pipe asks of the tasks and sockets around it."""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Result

from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted


class Body(abc.ABC):
    """Give a request's body in bounded pieces."""

    @property
    @abc.abstractmethod
    def length(self) -> int | None:
        """Return the stated length in bytes, or None when it is chunked."""

    @property
    @abc.abstractmethod
    def can_replay(self) -> bool:
        """Say whether ``chunks`` may be called once more."""

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the body's pieces."""


class AnswerBody(abc.ABC):
    """Give an answer's body in bounded pieces."""

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the pieces; raise when the answer ends early."""

    @abc.abstractmethod
    def close(self) -> None:
        """Free the connection; one that was not read to its end is closed."""


class Attempted(NamedTuple):
    """Describe how an attempt ended; ``latency_s`` runs to the answer's head."""

    kind: AttemptKind
    status: int
    headers: Headers
    body: AnswerBody | None
    latency_s: float
    was_reused: bool
    load: LoadReport | None


class Claim(NamedTuple):
    """Name a durable claim in the ledger."""

    key: str
    claim_id: str


class ClockPort(abc.ABC):
    """Read the runtime's clock."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds of the runtime's clock."""


class TablesPort(abc.ABC):
    """Read the tables in force."""

    @abc.abstractmethod
    def match(self, head: RequestHead) -> Route | None:
        """Return the route for a request."""

    @abc.abstractmethod
    def current(self) -> Tables:
        """Return the version in force."""

    def await_first(self, timeout_s: float) -> bool:
        """Wait until any tables are in force; say whether they are."""
        return self.current().log_index > 0


class TrafficPort(abc.ABC):
    """Ask the owner of a pool's traffic."""

    @abc.abstractmethod
    def acquire(self, pool: str, message: Acquire) -> Result[Granted, Refusal]:
        """Wait for a backend server until the deadline."""

    @abc.abstractmethod
    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report an attempt that begins."""

    @abc.abstractmethod
    def ended(self, message: AttemptEnded) -> None:
        """Report an ended attempt; its slot is free again."""


class LedgerPort(abc.ABC):
    """Claim work that may not be repeated."""

    @abc.abstractmethod
    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Make a claim durable, or refuse truthfully."""

    @abc.abstractmethod
    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Record the outcome of a claim."""


class BackendPort(abc.ABC):
    """Send requests to backend servers."""

    @abc.abstractmethod
    def will_reuse(self, server: Server) -> bool:
        """Say whether repeatable work would go over a kept connection now."""

    @abc.abstractmethod
    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> Attempted:
        """Run one attempt until the head's deadline.

        Work that may not be repeated goes over a new connection: one that
        was kept may have gone silent, and would leave the outcome unknown.
        """
