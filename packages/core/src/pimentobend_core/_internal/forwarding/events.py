"""Forwarding events for logs and metrics."""

from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.messages import AdmitShareChanged
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.ports import AttemptResult


class HostDecided(NamedTuple):
    """A decision or an outcome at the daemon that a server is registered with."""

    action: str  # call-started, call-ended, declined or joined
    attempt_id: str
    detail: Submit | Declined | DuplicateSubmission | AttemptResult


class AttemptSent(NamedTuple):
    """The origin, the daemon that received a request, sent an attempt of it."""

    request_id: str
    attempt_id: str
    candidate: Candidate
    bid_age_s: float
    is_hedge: bool
    fingerprint: str = ""


class AttemptJudged(NamedTuple):
    """An attempt ended, as seen by the origin of its request."""

    request_id: str
    attempt_id: str
    result: AttemptResult


class DeliveryHeld(NamedTuple):
    """The next attempt of a request waits before it is sent."""

    request_id: str
    pool: str
    held: Held


class DeliveryEnded(NamedTuple):
    """Summary of the attempts of a request that did not end well."""

    request_id: str
    route: str
    pool: str
    tables: str  # version of the tables in use
    attempts: tuple[str, ...]  # attempt id, server and outcome of each


class RequestBlocked(NamedTuple):
    """A request was refused because requests like it crash servers."""

    request_id: str
    block: Block
    remaining_s: float


class TaskFailed(NamedTuple):
    """A task ended by an exception; who waited for it got an answer that says so."""

    task: str  # ask, attempt, call or probe
    subject: str  # id of the request, the attempt or the server
    error: str


ForwardingEvent = (
    HostDecided
    | AttemptSent
    | AttemptJudged
    | DeliveryHeld
    | DeliveryEnded
    | CallLost
    | AdmitShareChanged
    | ServerCrashed
    | FingerprintBlocked
    | FingerprintReleased
    | RequestBlocked
    | TaskFailed
)
