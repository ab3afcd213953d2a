"""Check how one observer sets weights from attempts and grants."""

from collections.abc import Callable

import pytest
from health_samples import POOL
from health_samples import make_ended
from health_samples import make_server
from health_samples import make_servers

from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import Ejection
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthOutput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.observer import PoolHealth
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

STEP_S = 0.1


class ObserverDriver:
    """Drive one observer through simulated time and record its outputs."""

    def __init__(self, servers: int = 8) -> None:
        self.health = PoolHealth(POOL, "d1")
        self.now = 0.0
        self.weights: dict[str, float] = {}
        self.reports: list[EvidenceReported] = []
        self.send(ServersChanged(make_servers(servers)))

    def send(self, message: HealthInput) -> None:
        self._record(self.health.handle(message, self.now))

    def _record(self, outputs: tuple[HealthOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, HealthChanged):
                self.weights = dict(output.weights)
            else:
                self.reports.append(output)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.send(HealthTick())

    def serve(self, rounds: int, fault: Callable[[int], AttemptEnded | None]) -> None:
        """End one attempt on each server per round; ``fault`` may replace it."""
        for _ in range(rounds):
            self.now += STEP_S
            for server in range(1, 9):
                self.send(fault(server) or make_ended(server))
            self.send(HealthTick())

    def grant(
        self, servers: list[int], term: int = 1, sequence: int = 1, age_s: float = 0.0
    ) -> None:
        ejections = tuple(Ejection(str(server), 1, Reason.SLOW) for server in servers)
        asked_at = self.reports[-1].asked_at - age_s
        self.send(
            EjectionsGranted(
                "bookings",
                "bookings",
                "d1",
                term,
                sequence,
                asked_at,
                LEASE_S,
                ejections,
                False,
            )
        )


def _fault(
    servers: set[int], **changes: object
) -> Callable[[int], AttemptEnded | None]:
    def replace(server: int) -> AttemptEnded | None:
        if server not in servers:
            return None
        return make_ended(server)._replace(**changes)

    return replace


@pytest.mark.parametrize(
    ("fault", "avoided"),
    [
        (_fault({3}, latency_s=0.15), {"3"}),
        (_fault({3, 4}, latency_s=0.15), {"3", "4"}),
        (_fault({3}, status=500), {"3"}),
        (_fault({3}, kind=AttemptKind.NOT_CONNECTED, was_reused=False), {"3"}),
        (_fault({3}, kind=AttemptKind.NO_ANSWER, was_reused=False), {"3"}),
        (_fault({3}, kind=AttemptKind.TRUNCATED), {"3"}),
        (_fault({3}, kind=AttemptKind.NO_ANSWER, was_reused=True), set()),
        (_fault({3}, kind=AttemptKind.REFUSED, status=503), set()),
        (_fault({3}, kind=AttemptKind.CANCELLED), set()),
        (_fault({3}, status=404), set()),
        (_fault(set(range(1, 9)), latency_s=0.3), set()),
        (_fault(set(range(1, 9)), status=500), set()),
        (_fault({1, 2, 3, 4, 5, 6}, status=500), set()),
    ],
    ids=[
        "slow",
        "two-slow",
        "failing",
        "not-connected",
        "silent",
        "truncated",
        "dead-connection",
        "shedding",
        "cancelled",
        "not-found",
        "all-slow",
        "all-failing",
        "most-failing",
    ],
)
def test_only_an_unhealthy_server_is_avoided(
    fault: Callable[[int], AttemptEnded | None], avoided: set[str]
) -> None:
    daemon = ObserverDriver()
    daemon.serve(30, _fault(set()))
    daemon.serve(30, fault)
    assert daemon.weights.keys() == avoided
    assert all(weight > 0 for weight in daemon.weights.values())


@pytest.mark.parametrize("unhealthy", [5, 6, 7, 8])
def test_avoidance_stops_at_the_floor(unhealthy: int) -> None:
    daemon = ObserverDriver()
    daemon.serve(30, _fault(set()))
    for number in range(1, unhealthy + 1):
        daemon.serve(15, _fault(set(range(1, number + 1)), status=500))
        assert sum(1 - weight for weight in daemon.weights.values()) <= 4


@pytest.mark.parametrize(("was_reused", "is_avoided"), [(True, False), (False, True)])
def test_silence_shows_before_the_timeout(was_reused: bool, is_avoided: bool) -> None:
    daemon = ObserverDriver()
    daemon.serve(30, _fault(set()))
    for ticket in range(4):
        daemon.send(AttemptStarted(ticket, "book", "3", was_reused))
    daemon.serve(10, lambda server: make_ended(server)._replace(ticket=99))
    assert ("3" in daemon.weights) is is_avoided


@pytest.mark.parametrize(
    ("incarnation", "is_avoided"), [(1, True), (2, False)], ids=["same", "restarted"]
)
def test_a_warming_up_server_is_not_avoided(incarnation: int, is_avoided: bool) -> None:
    daemon = ObserverDriver()
    daemon.serve(30, _fault(set()))
    restarted = make_server(3, incarnation=incarnation)
    others = tuple(each for each in make_servers() if each.server_id != "3")
    daemon.send(ServersChanged((*others, restarted)))
    daemon.serve(30, _fault({3}, latency_s=0.3))
    assert ("3" in daemon.weights) is is_avoided


def test_evidence_is_reported_soon() -> None:
    daemon = ObserverDriver()
    daemon.serve(30, _fault(set()))
    daemon.reports.clear()
    daemon.serve(10, _fault({3}, status=500))
    scores = {each.server_id: each.score for each in daemon.reports[-1].servers}
    assert scores["3"] >= 1.0
    assert max(score for server, score in scores.items() if server != "3") == 0.0


@pytest.mark.parametrize(
    ("servers", "age_s", "ejected"),
    [
        ([3], 0.0, {"3"}),
        ([3, 4], 0.0, {"3", "4"}),
        ([1, 2, 3, 4, 5], 0.0, {"1", "2", "3", "4"}),
        ([9], 0.0, set()),
        ([3], 0.01, set()),
    ],
    ids=["one", "two", "beyond-the-floor", "unknown", "not-asked-for"],
)
def test_grants(servers: list[int], age_s: float, ejected: set[str]) -> None:
    daemon = ObserverDriver()
    daemon.advance(1.0)
    daemon.grant(servers, age_s=age_s)
    assert {each for each, weight in daemon.weights.items() if weight == 0} == ejected


def test_a_lease_expires_and_the_server_returns_by_a_ramp() -> None:
    daemon = ObserverDriver()
    daemon.advance(1.0)
    daemon.grant([3])
    daemon.advance(LEASE_S + 0.25)
    weights = [daemon.weights["3"]]
    assert 0 < weights[0] <= 0.2
    while "3" in daemon.weights:
        daemon.advance(1.0)
        weights.append(daemon.weights.get("3", 1.0))
    assert weights == sorted(weights)
    assert len(weights) >= 10


@pytest.mark.parametrize(
    ("term", "sequence", "is_ejected"),
    [(1, 1, True), (2, 0, False), (1, 3, False), (0, 9, True)],
)
def test_an_older_grant_changes_nothing(
    term: int, sequence: int, is_ejected: bool
) -> None:
    daemon = ObserverDriver()
    daemon.advance(1.0)
    daemon.grant([3], term=1, sequence=2)
    daemon.grant([], term=term, sequence=sequence)
    assert (daemon.weights.get("3") == 0) is is_ejected


@pytest.mark.parametrize(
    ("message", "ejected"),
    [
        (ConfigurePool(POOL._replace(floor=1.0)), 0),
        (ConfigurePool(POOL._replace(floor=0.75)), 2),
        (ServersChanged(make_servers(6)), 2),
        (
            ServersChanged(
                (
                    *make_servers(6),
                    make_server(7, ServerState.DRAINING),
                    make_server(8, ServerState.DRAINING),
                )
            ),
            2,
        ),
        (ServersChanged((make_server(1, incarnation=2), *make_servers()[1:])), 3),
    ],
    ids=["floor-1", "floor-0.75", "two-left", "two-drain", "restarted"],
)
def test_changes_keep_the_floor_at_once(message: HealthInput, ejected: int) -> None:
    daemon = ObserverDriver()
    daemon.advance(1.0)
    daemon.grant([1, 2, 3, 4])
    daemon.send(message)
    assert sum(weight == 0 for weight in daemon.weights.values()) == ejected
