"""Define the values that pass through the request pipe."""

import enum
from typing import NamedTuple


class Ran(enum.Enum):
    """Say whether the work of a request ran."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """Name why a request was refused; the values are part of the interface."""

    MALFORMED = "malformed"
    NO_ROUTE = "no-route"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    FAIR_SHARE = "fair-share"
    NO_SERVER = "no-server"
    BACKEND = "backend"
    TRUNCATED = "truncated"
    LEDGER = "ledger"
    IN_PROGRESS = "in-progress"
    ALREADY_RAN = "already-ran"
    DRAINING = "draining"
    CALLER_LEFT = "caller-left"
    NO_TABLES = "no-tables"
    TOO_LARGE = "too-large"


class Refusal(NamedTuple):
    """Refuse a request; ``retry_after_s`` is in seconds."""

    status: int
    ran: Ran
    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None


Headers = tuple[tuple[str, str], ...]


class RequestHead(NamedTuple):
    """Describe a caller's request; times are seconds of the runtime's clock."""

    request_id: str
    method: str
    host: str
    path: str
    query: str
    headers: Headers
    organisation: str
    idempotency_key: str | None
    received_at: float
    deadline: float


class AttemptKind(enum.Enum):
    """Name how one attempt on a backend server ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the server states that it did not run the work
    NOT_CONNECTED = "not-connected"  # no byte of the request was sent
    NO_ANSWER = "no-answer"  # bytes were sent, and no answer came
    TRUNCATED = "truncated"  # the answer ended before its stated length
    CANCELLED = "cancelled"  # the caller went away
    DECLINED = "declined"  # the daemon beside the server took no work


class LoadReport(NamedTuple):
    """Carry the load that a backend server states on an answer, in requests."""

    in_use: int
    slots: int


class AttemptEnded(NamedTuple):
    """Report one ended attempt to the owners of traffic and health."""

    ticket: int
    pool: str
    route: str
    server_id: str
    kind: AttemptKind
    status: int  # 0 without an answer
    latency_s: float  # until the answer's head
    was_reused: bool  # the connection had served before
    load: LoadReport | None
