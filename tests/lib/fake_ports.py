"""Fakes of the ports that the request pipeline uses."""

from collections.abc import Iterator
from collections.abc import Sequence

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.compact.organisations import pack_organisations
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import Claim
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import LedgerPort
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted


class FakeClock(ClockPort):
    """A clock that moves only when a test sets ``time`` (seconds)."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time that the test set."""
        return self.time


class FakeTables(TablesPort):
    """Tables that match every request with one route, or none."""

    def __init__(
        self, route: Route | None, organisations: Sequence[Organisation] = ()
    ) -> None:
        self._route = route
        self._organisations = pack_organisations(organisations)

    def match(self, head: RequestHead) -> Route | None:
        """Return the configured route."""
        return self._route

    def current(self) -> Tables:
        """Return tables that hold only organisations."""
        return Tables(1, 1, (), (), organisations=self._organisations)

    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations.find(key_digest)


class FakeTraffic(TrafficPort):
    """Grants a new server each time, for a limited number of times."""

    def __init__(self, grants: int = 10) -> None:
        self._grants = grants
        self.starts: list[AttemptStarted] = []
        self.ends: list[AttemptEnded] = []
        self.asked: list[Acquire] = []
        self.released: list[int] = []

    def acquire(self, pool: str, message: Acquire) -> Result[Granted, Refusal]:
        """Grant a new server, or refuse when the grants are used up."""
        self.asked.append(message)
        if len(self.asked) > self._grants:
            refusal = Refusal(503, Ran.NOT_RUN, RefusalReason.QUEUE_FULL, "full", 1)
            return Failure(refusal)
        return Success(Granted(message.ticket, make_server(f"s{len(self.asked)}")))

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Record the attempt."""
        self.starts.append(message)

    def ended(self, message: AttemptEnded) -> None:
        """Record the ended attempt."""
        self.ends.append(message)

    def release(self, pool: str, ticket: int) -> None:
        """Record the slot that is given back."""
        self.released.append(ticket)


class FakeLedger(LedgerPort):
    """Grants or refuses all claims, and records how they were settled."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self._refusal = refusal
        self.claims: list[str | None] = []
        self.settled: list[Ran] = []

    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Return the configured refusal, or grant the claim."""
        self.claims.append(head.idempotency_key)
        if self._refusal is not None:
            return Failure(self._refusal)
        return Success(Claim(head.idempotency_key or "", "claim-1"))

    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Record the outcome."""
        self.settled.append(ran)


class FakeBackend(BackendPort):
    """Ends the attempts with a list of configured results, in order."""

    def __init__(self, results: Sequence[tuple[AttemptKind, int]]) -> None:
        self._results = list(results)
        self.sent: list[str] = []

    def will_reuse(self, server: Server) -> bool:
        """Return that no connection is kept."""
        return False

    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Return the next configured result."""
        kind, status = self._results[len(self.sent)]
        self.sent.append(server.server_id)
        return AttemptResult(kind, status, (), None, 0.01, False, None)


class FakeRetries(RetryPolicy):
    """Allows a limited number of retries."""

    def __init__(self, allowed: int) -> None:
        self._allowed = allowed

    def may_retry(self, pool: str, now: float) -> bool:
        """Use up one retry and return whether it was allowed."""
        self._allowed -= 1
        return self._allowed >= 0

    def succeeded(self, pool: str, now: float) -> None:
        """Ignore the success."""


class FakeBody(Body):
    """An empty body."""

    def __init__(self, can_replay: bool = True) -> None:
        self._can_replay = can_replay

    @property
    def length(self) -> int | None:
        """Return 0."""
        return 0

    @property
    def can_replay(self) -> bool:
        """Return the configured value."""
        return self._can_replay

    def chunks(self) -> Iterator[bytes]:
        """Yield nothing."""
        return iter(())


def make_server(server_id: str) -> Server:
    """Return a ready server."""
    return Server(server_id, "s", "127.0.0.1", 1, 6, "a", "r", ServerState.READY, 1)


def make_route(repeatable: bool) -> Route:
    """Return a route with a timeout of 10 s."""
    return Route("r", "*", "/", (), "p", repeatable, 10_000)


def make_head(key: str | None = None, remaining_s: float = 5.0) -> RequestHead:
    """Return a request that is received at the fake clock's initial time."""
    return RequestHead(
        "id", "POST", "h", "/x", "", (), "org", key, 100.0, 100.0 + remaining_s
    )
