"""Check what the owner of the floor grants."""

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


class Owner:
    """Drive one floor owner and keep its outputs."""

    def __init__(self, servers: int = 8) -> None:
        self.owner = FloorOwner()
        self.now = 0.0
        self.is_confirmed = True
        self.outputs: list[FloorOutput] = []
        self.sequence = 0
        self.tell(ConfigurePools((POOL,)))
        self.tell(ServiceServersChanged("bookings", make_servers(servers)))
        self.tell(OwnershipTaken(1))
        self.wait(TAKEOVER_S + STEP_S)

    def tell(self, message: FloorInput) -> None:
        outputs = self.owner.handle(message, self.now)
        self.outputs.extend(outputs)
        for output in outputs:
            if isinstance(output, EjectionsGranted):
                self.sequence = output.sequence

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if self.is_confirmed:
                self.tell(OwnershipConfirmed(1, self.now))
            self.tell(FloorTick())

    def report(self, views: dict[str, dict[int, float]], seconds: float = 1.0) -> None:
        """Let each observer report its scores every step."""
        for _ in range(round(seconds / STEP_S)):
            for observer, scores in views.items():
                report = make_report(
                    observer, self.now, scores, term=1, sequence=self.sequence
                )
                self.tell(report)
            self.wait(STEP_S)

    @property
    def grants(self) -> list[EjectionsGranted]:
        return [each for each in self.outputs if isinstance(each, EjectionsGranted)]

    @property
    def ejected(self) -> set[str]:
        if not self.grants:
            return set()
        return {ejection.server_id for ejection in self.grants[-1].ejections}


def _views(
    bad: int, good: int, servers: tuple[int, ...] = (3,)
) -> dict[str, dict[int, float]]:
    score = 1.2
    views = {f"bad{n}": dict.fromkeys(servers, score) for n in range(bad)}
    return views | {f"good{n}": dict.fromkeys(servers, 0.0) for n in range(good)}


@pytest.mark.parametrize(
    ("views", "ejected"),
    [
        (_views(2, 0), {"3"}),
        (_views(1, 0), {"3"}),
        (_views(3, 2), {"3"}),
        (_views(2, 2), set()),
        (_views(1, 1), set()),
        (_views(6, 18), set()),
        (_views(8, 0, (1, 2, 3)), {"1", "2", "3"}),
        (_views(8, 0, (1, 2, 3, 4)), set()),
        (_views(8, 0, (1, 2, 3, 4, 5)), set()),
        (_views(8, 0, tuple(range(1, 9))), set()),
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
        "three-sick",
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
def test_agreement(views: dict[str, dict[int, float]], ejected: set[str]) -> None:
    owner = Owner()
    owner.report(views)
    assert owner.ejected == ejected


@pytest.mark.parametrize(
    ("floor", "servers", "most"),
    [(0.5, 8, 3), (0.75, 8, 2), (1.0, 8, 0), (0.5, 14, 6), (0.8, 14, 2), (0.0, 8, 3)],
)
def test_the_floor_bounds_ejections(floor: float, servers: int, most: int) -> None:
    owner = Owner(servers)
    owner.tell(ConfigurePools((POOL._replace(floor=floor),)))
    for worst in range(1, servers // 2 + 1):
        owner.report(_views(4, 0, tuple(range(1, worst + 1))))
    assert len(owner.ejected) == most


@pytest.mark.parametrize(
    ("waited_s", "is_ejected"), [(HOLD_S - 1, False), (HOLD_S + 1, True)]
)
def test_an_ended_ejection_counts_until_its_leases_expire(
    waited_s: float, is_ejected: bool
) -> None:
    owner = Owner()
    owner.tell(ConfigurePools((POOL._replace(floor=0.875),)))
    owner.report(_views(2, 0, (3,)))
    assert owner.ejected == {"3"}
    owner.report({"bad0": {}, "bad1": {}}, EjectionBackoff.BASE_S)
    assert owner.ejected == set()
    ended_at = owner.now
    while owner.now < ended_at + waited_s:
        owner.report(_views(2, 0, (4,)), STEP_S)
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
    owner = Owner()
    owner.tell(ConfigurePools((POOL._replace(floor=0.625),)))
    views = {"d1": {1: 1.5, 2: 1.4, 3: 1.3}}
    owner.report(views | {"d2": views["d1"]})
    owner.tell(ServiceServersChanged("bookings", servers))
    owner.report({"d1": {}, "d2": {}}, STEP_S)
    assert owner.ejected == ejected


def test_a_new_owner_waits_out_the_earlier_leases() -> None:
    owner = Owner()
    owner.report(_views(2, 0))
    owner.tell(OwnershipTaken(2))
    before = len(owner.grants)
    began = owner.now
    while owner.now < began + TAKEOVER_S - STEP_S:
        owner.tell(OwnershipConfirmed(2, owner.now))
        owner.report(_views(2, 0), STEP_S)
        owner.tell(OwnershipConfirmed(2, owner.now))
    assert len(owner.grants) == before
    assert TAKEOVER_S > LEASE_S


@pytest.mark.parametrize(
    ("is_lost", "waited_s", "grants"),
    [(False, 1.0, True), (False, 4.0, False), (True, 0.0, False)],
    ids=["confirmed-lately", "cut-off", "told"],
)
def test_an_owner_without_a_majority_grants_nothing(
    is_lost: bool, waited_s: float, grants: bool
) -> None:
    owner = Owner()
    owner.is_confirmed = False
    if is_lost:
        owner.tell(OwnershipLost())
    owner.wait(waited_s)
    owner.report(_views(2, 0), 1.75)
    assert (owner.ejected == {"3"}) is grants


@pytest.mark.parametrize(
    ("leaves", "ejected"), [(False, set()), (True, {"3"})], ids=["cut-off", "withdrew"]
)
def test_an_observer_that_left_is_not_waited_for(
    leaves: bool, ejected: set[str]
) -> None:
    owner = Owner()
    owner.report(_views(0, 1))
    owner.wait(6.0)
    if leaves:
        owner.tell(ObserverLeft("good0"))
    owner.report(_views(1, 0))
    assert owner.ejected == ejected


def test_flapping_raises_the_time_out() -> None:
    owner = Owner()
    for _ in range(4):
        while not owner.ejected:
            owner.report(_views(2, 0), STEP_S)
        while owner.ejected:
            owner.report({"bad0": {}, "bad1": {}}, STEP_S)
    started = [each for each in owner.outputs if isinstance(each, EjectionStarted)]
    assert [each.timeout_s for each in started[:4]] == [10.0, 20.0, 40.0, 80.0]


@pytest.mark.parametrize(
    ("calm_s", "timeout_s"), [(10.0, 40.0), (300.0, 20.0), (700.0, 10.0)]
)
def test_calm_forgives(calm_s: float, timeout_s: float) -> None:
    backoff = EjectionBackoff()
    backoff.start_ejection("3", 0.0)
    backoff.start_ejection("3", 20.0)
    backoff.record_return("3", 40.0)
    assert backoff.start_ejection("3", 40.0 + calm_s) == timeout_s
