"""Values that the filters of the request pipe pass on, in order."""

from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import Claim

# Registers a function to be called once the caller closes its connection.
OnCallerLeft = Callable[[Callable[[], None]], None]


class Received(NamedTuple):
    """A request as received from the front end."""

    head: RequestHead
    body: Body
    on_caller_left: OnCallerLeft | None = None
    sender: Sender = Sender()


class Routed(NamedTuple):
    """A request with its route and its final deadline."""

    head: RequestHead
    body: Body
    route: Route
    pool: str = ""  # selected by the route's traffic splits
    on_caller_left: OnCallerLeft | None = None
    fingerprint: str = ""  # empty if the request cannot be recognised
    sender: Sender = Sender()
    organisation: str = ""  # that holds the request's API key; empty without one
    priority: int | None = None  # of the organisation, goes before the route's


class Claimed(NamedTuple):
    """A request that may be sent; ``claim`` is None if it needs none."""

    head: RequestHead
    body: Body
    route: Route
    claim: Claim | None
    fingerprint: str = ""


class PendingAttempt(NamedTuple):
    """A request before an attempt; ``tried`` lists the ids of earlier servers."""

    request: Claimed
    tried: tuple[str, ...]


class Admitted(NamedTuple):
    """A request with its slot of a backend server."""

    request: Claimed
    ticket: int
    server: Server


class EndedAttempt(NamedTuple):
    """An attempt that ended, with its ``result``."""

    request: Claimed
    server: Server
    result: AttemptResult


class JudgedAttempt(NamedTuple):
    """An attempt that ended, with its verdict.

    ``refusal`` is None if the answer goes to the caller. ``may_retry`` is True
    if another attempt is safe and may have another outcome.
    """

    server: Server
    result: AttemptResult
    ran: Ran
    refusal: Refusal | None
    may_retry: bool


class Finished(NamedTuple):
    """The answer for the caller."""

    result: AttemptResult
    ran: Ran
    server_id: str
    attempts: int
