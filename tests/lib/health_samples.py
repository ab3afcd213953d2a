"""Sample messages for the tests of health checking."""

from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.messages import ServerEvidence
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool

POOL = Pool("bookings", "bookings", 0.5, 100, hedge=False)


def make_server(
    number: int, state: ServerState = ServerState.READY, incarnation: int = 1
) -> Server:
    """Return a server of the bookings service."""
    return Server(
        str(number),
        "bookings",
        "127.0.0.1",
        8000 + number,
        6,
        "lahore-a",
        "punjab",
        state,
        incarnation,
    )


def make_servers(count: int = 8) -> tuple[Server, ...]:
    """Return ``count`` ready servers, numbered from 1."""
    return tuple(make_server(number) for number in range(1, count + 1))


def make_ended(
    server: int,
    kind: AttemptKind = AttemptKind.ANSWERED,
    status: int = 200,
    latency_s: float = 0.03,
    was_reused: bool = True,
    in_use: int = 1,
) -> AttemptEnded:
    """Return one ended attempt, by default a successful one."""
    return AttemptEnded(
        0,
        "bookings",
        "book",
        str(server),
        kind,
        status,
        latency_s,
        was_reused,
        LoadReport(in_use, 6),
    )


def make_report(
    observer: str,
    asked_at: float,
    scores: dict[int, float],
    *,
    term: int = 0,
    sequence: int = 0,
    incarnation: int = 1,
) -> EvidenceReported:
    """Return a report with scores by server number."""
    evidence = tuple(
        ServerEvidence(str(server), incarnation, score, 0.0, Reason.SLOW)
        for server, score in scores.items()
    )
    return EvidenceReported(
        "bookings", "bookings", observer, asked_at, term, sequence, evidence
    )
