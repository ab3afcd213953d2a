"""Stand in for the ports of the request pipe."""

from collections.abc import Iterator
from collections.abc import Sequence

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import Attempted
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
    """Stand still until a test moves it; in seconds."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time that the test set."""
        return self.time


class FakeTables(TablesPort):
    """Hold one route."""

    def __init__(self, route: Route | None) -> None:
        self._route = route

    def match(self, head: RequestHead) -> Route | None:
        """Return the route."""
        return self._route

    def current(self) -> Tables:
        """Return empty tables."""
        return Tables(1, 1, (), ())


class FakeTraffic(TrafficPort):
    """Grant servers in turn, up to a number of grants."""

    def __init__(self, grants: int = 10) -> None:
        self._grants = grants
        self.starts: list[AttemptStarted] = []
        self.ends: list[AttemptEnded] = []
        self.asked: list[Acquire] = []

    def acquire(self, pool: str, message: Acquire) -> Result[Granted, Refusal]:
        """Grant a server that was not tried, or refuse."""
        self.asked.append(message)
        if len(self.asked) > self._grants:
            refusal = Refusal(503, Ran.NOT_RUN, RefusalReason.QUEUE_FULL, "full", 1)
            return Failure(refusal)
        return Success(Granted(message.ticket, make_server(f"s{len(self.asked)}")))

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Remember the attempt that begins."""
        self.starts.append(message)

    def ended(self, message: AttemptEnded) -> None:
        """Remember the ended attempt."""
        self.ends.append(message)


class FakeLedger(LedgerPort):
    """Grant or refuse claims, and remember how they were settled."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self._refusal = refusal
        self.claims: list[str | None] = []
        self.settled: list[Ran] = []

    def claim(self, head: RequestHead) -> Result[Claim, Refusal]:
        """Answer as the test chose."""
        self.claims.append(head.idempotency_key)
        if self._refusal is not None:
            return Failure(self._refusal)
        return Success(Claim(head.idempotency_key or "", "claim-1"))

    def settle(self, claim: Claim, ran: Ran, status: int) -> None:
        """Remember the outcome."""
        self.settled.append(ran)


class FakeBackend(BackendPort):
    """Give the attempts a list of endings."""

    def __init__(self, endings: Sequence[tuple[AttemptKind, int]]) -> None:
        self._endings = list(endings)
        self.sent: list[str] = []

    def will_reuse(self, server: Server) -> bool:
        """Say that no connection is kept."""
        return False

    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> Attempted:
        """End the attempt as the test chose."""
        kind, status = self._endings[len(self.sent)]
        self.sent.append(server.server_id)
        return Attempted(kind, status, (), None, 0.01, False, None)


class FakeRetries(RetryPolicy):
    """Allow a number of retries."""

    def __init__(self, allowed: int) -> None:
        self._allowed = allowed

    def may_retry(self, pool: str, now: float) -> bool:
        """Take one retry."""
        self._allowed -= 1
        return self._allowed >= 0

    def succeeded(self, pool: str, now: float) -> None:
        """Earn nothing."""


class FakeBody(Body):
    """Hold no bytes."""

    def __init__(self, can_replay: bool = True) -> None:
        self._can_replay = can_replay

    @property
    def length(self) -> int | None:
        """Return no bytes."""
        return 0

    @property
    def can_replay(self) -> bool:
        """Say what the test chose."""
        return self._can_replay

    def chunks(self) -> Iterator[bytes]:
        """Yield nothing."""
        return iter(())


def make_server(server_id: str) -> Server:
    """Return a ready server."""
    return Server(server_id, "s", "127.0.0.1", 1, 6, "a", "r", ServerState.READY, 1)


def make_route(repeatable: bool) -> Route:
    """Return a route of ten seconds."""
    return Route("r", "*", "/", (), "p", repeatable, 10_000)


def make_head(key: str | None = None, remaining_s: float = 5.0) -> RequestHead:
    """Return a request received at the fake clock's start."""
    return RequestHead(
        "id", "POST", "h", "/x", "", (), "org", key, 100.0, 100.0 + remaining_s
    )
