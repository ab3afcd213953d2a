"""Values that pass through the request pipeline."""

import enum
from typing import NamedTuple


class Ran(enum.Enum):
    """Whether a backend server ran a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """Why a request was refused; the values are part of the public interface."""

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
    CRASHES_SERVERS = "crashes-servers"
    UNKNOWN_KEY = "unknown-key"
    TABLES_UNPROVEN = "tables-unproven"
    OVER_LIMIT = "over-limit"
    LIMIT_UNKNOWN = "limit-unknown"
    NO_MEMORY = "no-memory"
    NO_ROOM_BEHIND = "no-room-behind"


class Refusal(NamedTuple):
    """The refusal of a request; ``retry_after_s`` is in seconds."""

    status: int
    ran: Ran
    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None


Headers = tuple[tuple[str, str], ...]


class RequestHead(NamedTuple):
    """A caller's request without its body; times are in seconds of the clock."""

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
    api_key_digest: bytes = b""  # empty without a key
    is_local: bool = False  # the connection comes from this machine


class Sender(NamedTuple):
    """What the daemon that received a request knows of its sender."""

    is_client: bool = False  # certainly not a server on its machine
    repeat_share: float = 0.0  # probability that a repeated run of a server sent it
    # It ends with a run of a server on its machine, which probably makes it.
    is_call: bool = False
    calling_routes: tuple[str, ...] = ()  # of the runs that may make the call
    calling_runs: tuple[str, ...] = ()  # their attempt ids, the longest run first
    is_run_known: bool = False  # these runs end with the call, so one of them made it
    demand: float = 1.0  # requests that the run stands for, see Submit.demand


UNKNOWN_SENDER = Sender()


class AttemptKind(enum.Enum):
    """How an attempt on a backend server ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the server states that it did not run the request
    NOT_CONNECTED = "not-connected"  # no byte of the request was sent
    NO_ANSWER = "no-answer"  # bytes were sent, and no answer came
    TRUNCATED = "truncated"  # the answer ended before its declared length
    CANCELLED = "cancelled"  # the caller disconnected
    # The daemon that the server is registered with did not accept the request.
    DECLINED = "declined"


class LoadReport(NamedTuple):
    """The load that a backend server reports on an answer, in requests."""

    in_use: int
    slots: int


class AttemptEnded(NamedTuple):
    """The end of an attempt, as reported to the traffic and health tasks."""

    ticket: int
    pool: str
    route: str
    server_id: str
    kind: AttemptKind
    status: int  # 0 if there was no answer
    latency_s: float  # time to the answer's head
    was_reused: bool  # the connection had carried an earlier request
    load: LoadReport | None
