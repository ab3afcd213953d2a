"""Define the stages that a request passes on its way through the pipe."""

from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import Claim

# Calls a function once the caller has closed its connection.
OnCallerLeft = Callable[[Callable[[], None]], None]


class Received(NamedTuple):
    """Hold a request as the front end gave it."""

    head: RequestHead
    body: Body
    on_caller_left: OnCallerLeft | None = None


class Routed(NamedTuple):
    """Hold a request whose route is known and whose deadline is final."""

    head: RequestHead
    body: Body
    route: Route
    pool: str = ""  # the one chosen among the route's splits
    on_caller_left: OnCallerLeft | None = None


class Claimed(NamedTuple):
    """Hold a request that may be sent; ``claim`` is None without a key."""

    head: RequestHead
    body: Body
    route: Route
    claim: Claim | None


class Attempting(NamedTuple):
    """Hold a request before one attempt; ``tried`` names earlier servers."""

    request: Claimed
    tried: tuple[str, ...]


class Admitted(NamedTuple):
    """Hold a request that was given a slot of a backend server."""

    request: Claimed
    ticket: int
    server: Server


class Tried(NamedTuple):
    """Hold an ended attempt."""

    request: Claimed
    server: Server
    attempted: AttemptResult


class Judged(NamedTuple):
    """Hold an ended attempt with its verdict.

    ``refusal`` is None when the answer goes to the caller; ``may_retry``
    says whether another attempt cannot make the work run twice.
    """

    server: Server
    attempted: AttemptResult
    ran: Ran
    refusal: Refusal | None
    may_retry: bool


class Finished(NamedTuple):
    """Hold the answer for the caller."""

    attempted: AttemptResult
    ran: Ran
    server_id: str
    attempts: int
