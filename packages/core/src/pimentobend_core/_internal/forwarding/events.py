"""Define the events of forwarding that go to logs and metrics."""

from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import Joined
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.ports import AttemptResult


class HostDecided(NamedTuple):
    """Report a decision at the daemon beside a server."""

    action: str  # call-started, call-ended, declined or joined
    attempt_id: str
    detail: Submit | Declined | Joined | AttemptResult


class AttemptSent(NamedTuple):
    """Report an attempt that the origin of a request sent."""

    request_id: str
    attempt_id: str
    candidate: Candidate
    bid_age_s: float
    is_hedge: bool


class AttemptJudged(NamedTuple):
    """Report how an attempt ended at the origin of its request."""

    request_id: str
    attempt_id: str
    attempted: AttemptResult


class DeliveryHeld(NamedTuple):
    """Report that the next attempt of a request waits."""

    request_id: str
    pool: str
    held: Held


class DeliveryEnded(NamedTuple):
    """Sum up the attempts of a request that did not end well."""

    request_id: str
    route: str
    pool: str
    tables: str  # version of the tables that decided
    attempts: tuple[str, ...]  # attempt id, server and how it ended


ForwardingEvent = (
    HostDecided | AttemptSent | AttemptJudged | DeliveryHeld | DeliveryEnded
)
