"""Check which ejections the floor owner grants."""

import pytest
from health_samples import POOL
from health_samples import make_report
from health_samples import make_server
from health_samples import make_servers

from pimentobend_core._internal.health.backoff import EjectionBackoff
from pimentobend_core._internal.health.floor import FloorOwner
from pimentobend_core._internal.health.limits import HOLD_S
from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.limits import TAKEOVER_S
from pimentobend_core._internal.health.messages import ConfigurePools
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EjectionStarted
from pimentobend_core._internal.health.messages import EjectionWithheld
from pimentobend_core._internal.health.messages import FloorInput
from pimentobend_core._internal.health.messages import FloorOutput
from pimentobend_core._internal.health.messages import FloorTick
from pimentobend_core._internal.health.messages import ObserverLeft
from pimentobend_core._internal.health.messages import OwnershipConfirmed
from pimentobend_core._internal.health.messages import OwnershipLost
from pimentobend_core._internal.health.messages import OwnershipTaken
from pimentobend_core._internal.health.messages import ServiceServersChanged
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

STEP_S = 0.25


class OwnerDriver:
    """Drive one floor owner through simulated time and record its outputs."""

    def __init__(self, servers: int = 8) -> None:
        self.owner = FloorOwner()
        self.now = 0.0
        self.is_confirmed = True
        self.outputs: list[FloorOutput] = []
        self.sequence = 0
        self.send(ConfigurePools((POOL,)))
        self.send(ServiceServersChanged("bookings", make_servers(servers)))
        self.send(OwnershipTaken(1))
        self.advance(TAKEOVER_S + STEP_S)

    def send(self, message: FloorInput) -> None:
        outputs = self.owner.handle(message, self.now)
        self.outputs.extend(outputs)
        for output in outputs:
            if isinstance(output, EjectionsGranted):
                self.sequence = output.sequence

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if self.is_confirmed:
                self.send(OwnershipConfirmed(1, self.now))
            self.send(FloorTick())

    def report(
        self, scores_by_observer: dict[str, dict[int, float]], seconds: float = 1.0
    ) -> None:
        """Send a report of each observer at every step for ``seconds``."""
        for _ in range(round(seconds / STEP_S)):
            for observer, scores in scores_by_observer.items():
                report = make_report(
                    observer, self.now, scores, term=1, sequence=self.sequence
                )
                self.send(report)
            self.advance(STEP_S)

    @property
    def grants(self) -> list[EjectionsGranted]:
        return [each for each in self.outputs if isinstance(each, EjectionsGranted)]

    @property
    def ejected(self) -> set[str]:
        if not self.grants:
            return set()
        return {ejection.server_id for ejection in self.grants[-1].ejections}


def _make_scores(
    bad: int, good: int, servers: tuple[int, ...] = (3,)
) -> dict[str, dict[int, float]]:
    score = 1.2
    scores = {f"bad{n}": dict.fromkeys(servers, score) for n in range(bad)}
    return scores | {f"good{n}": dict.fromkeys(servers, 0.0) for n in range(good)}


@pytest.mark.parametrize(
    ("scores", "ejected"),
    [
        (_make_scores(2, 0), {"3"}),
        (_make_scores(1, 0), {"3"}),
        (_make_scores(3, 2), {"3"}),
        (_make_scores(2, 2), set()),
        (_make_scores(1, 1), set()),
        (_make_scores(6, 18), set()),
        (_make_scores(8, 0, (1, 2, 3)), {"1", "2", "3"}),
        (_make_scores(8, 0, (1, 2, 3, 4)), set()),
        (_make_scores(8, 0, (1, 2, 3, 4, 5)), set()),
        (_make_scores(8, 0, tuple(range(1, 9))), set()),
        ({f"d{n}": {3: 0.3} for n in range(8)}, {"3"}),
        ({f"d{n}": {3: 0.3} for n in range(4)}, set()),
        ({"d1": {3: 1.2}, "d2": {4: 1.2}}, set()),
        ({"d1": {3: 1.2}, "d2": {}}, set()),
        ({"d1": {9: 1.2}, "d2": {9: 1.2}}, set()),
    ],
    ids=[
        "two-agree",
        "the-only-observer",
        "three-of-five",
        "split",
        "one-sided",
        "a-rack-cut-off",
        "three-unhealthy",
        "half-look-bad",
        "most-look-bad",
        "all-look-bad",
        "many-weak",
        "few-weak",
        "different-servers",
        "the-other-sees-nothing",
        "unknown-server",
    ],
)
def test_agreement(scores: dict[str, dict[int, float]], ejected: set[str]) -> None:
    owner = OwnerDriver()
    owner.report(scores)
    assert owner.ejected == ejected


@pytest.mark.parametrize(
    ("floor", "servers", "max_ejected"),
    [(0.5, 8, 3), (0.75, 8, 2), (1.0, 8, 0), (0.5, 14, 6), (0.8, 14, 2), (0.0, 8, 3)],
)
def test_the_floor_bounds_ejections(
    floor: float, servers: int, max_ejected: int
) -> None:
    owner = OwnerDriver(servers)
    owner.send(ConfigurePools((POOL._replace(floor=floor),)))
    for worst in range(1, servers // 2 + 1):
        owner.report(_make_scores(4, 0, tuple(range(1, worst + 1))))
    assert len(owner.ejected) == max_ejected


@pytest.mark.parametrize(
    ("waited_s", "is_ejected"), [(HOLD_S - 1, False), (HOLD_S + 1, True)]
)
def test_an_ended_ejection_counts_until_its_leases_expire(
    waited_s: float, is_ejected: bool
) -> None:
    owner = OwnerDriver()
    owner.send(ConfigurePools((POOL._replace(floor=0.875),)))
    owner.report(_make_scores(2, 0, (3,)))
    assert owner.ejected == {"3"}
    owner.report({"bad0": {}, "bad1": {}}, EjectionBackoff.BASE_S)
    assert owner.ejected == set()
    ended_at = owner.now
    while owner.now < ended_at + waited_s:
        owner.report(_make_scores(2, 0, (4,)), STEP_S)
    assert (owner.ejected == {"4"}) is is_ejected
    assert any(isinstance(each, EjectionWithheld) for each in owner.outputs)


@pytest.mark.parametrize(
    ("servers", "ejected"),
    [
        (make_servers(), {"1", "2", "3"}),
        (make_servers()[:-2], {"1"}),
        (make_servers()[1:], {"2", "3"}),
        (
            (*make_servers()[:-1], make_server(8, ServerState.DRAINING)),
            {"1", "2"},
        ),
        (
            (make_server(1, ServerState.DRAINING), *make_servers()[1:]),
            {"2", "3"},
        ),
        ((make_server(1, incarnation=2), *make_servers()[1:]), {"2", "3"}),
    ],
    ids=["same", "two-left", "ejected-left", "drains", "ejected-drains", "restarted"],
)
def test_changed_servers(servers: tuple[Server, ...], ejected: set[str]) -> None:
    owner = OwnerDriver()
    owner.send(ConfigurePools((POOL._replace(floor=0.625),)))
    scores = {"d1": {1: 1.5, 2: 1.4, 3: 1.3}}
    owner.report(scores | {"d2": scores["d1"]})
    owner.send(ServiceServersChanged("bookings", servers))
    owner.report({"d1": {}, "d2": {}}, STEP_S)
    assert owner.ejected == ejected


def test_a_new_owner_waits_for_earlier_leases_to_expire() -> None:
    owner = OwnerDriver()
    owner.report(_make_scores(2, 0))
    owner.send(OwnershipTaken(2))
    before = len(owner.grants)
    started_at = owner.now
    while owner.now < started_at + TAKEOVER_S - STEP_S:
        owner.send(OwnershipConfirmed(2, owner.now))
        owner.report(_make_scores(2, 0), STEP_S)
        owner.send(OwnershipConfirmed(2, owner.now))
    assert len(owner.grants) == before
    assert TAKEOVER_S > LEASE_S


@pytest.mark.parametrize(
    ("is_lost", "waited_s", "grants"),
    [(False, 1.0, True), (False, 4.0, False), (True, 0.0, False)],
    ids=["confirmed-recently", "cut-off", "ownership-lost"],
)
def test_an_owner_without_a_majority_grants_nothing(
    is_lost: bool, waited_s: float, grants: bool
) -> None:
    owner = OwnerDriver()
    owner.is_confirmed = False
    if is_lost:
        owner.send(OwnershipLost())
    owner.advance(waited_s)
    owner.report(_make_scores(2, 0), 1.75)
    assert (owner.ejected == {"3"}) is grants


@pytest.mark.parametrize(
    ("leaves", "ejected"), [(False, set()), (True, {"3"})], ids=["cut-off", "withdrew"]
)
def test_an_observer_that_left_does_not_count_as_cut_off(
    leaves: bool, ejected: set[str]
) -> None:
    owner = OwnerDriver()
    owner.report(_make_scores(0, 1))
    owner.advance(6.0)
    if leaves:
        owner.send(ObserverLeft("good0"))
    owner.report(_make_scores(1, 0))
    assert owner.ejected == ejected


def test_flapping_prolongs_ejections() -> None:
    owner = OwnerDriver()
    for _ in range(4):
        while not owner.ejected:
            owner.report(_make_scores(2, 0), STEP_S)
        while owner.ejected:
            owner.report({"bad0": {}, "bad1": {}}, STEP_S)
    started = [each for each in owner.outputs if isinstance(each, EjectionStarted)]
    assert [each.timeout_s for each in started[:4]] == [10.0, 20.0, 40.0, 80.0]


@pytest.mark.parametrize(
    ("in_use_s", "timeout_s"), [(10.0, 40.0), (300.0, 20.0), (700.0, 10.0)]
)
def test_time_in_use_forgives_ejections(in_use_s: float, timeout_s: float) -> None:
    backoff = EjectionBackoff()
    backoff.start_ejection("3", 0.0)
    backoff.start_ejection("3", 20.0)
    backoff.record_return("3", 40.0)
    assert backoff.start_ejection("3", 40.0 + in_use_s) == timeout_s
