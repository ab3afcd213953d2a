"""Test leases, incarnations and withdrawals in the server registry."""

import pytest

from pimentobend_core._internal.membership.messages import AnnouncementAccepted
from pimentobend_core._internal.membership.messages import AnnouncementRefused
from pimentobend_core._internal.membership.messages import EarlierDrains
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryTick
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.membership.registry import FORGET_S
from pimentobend_core._internal.membership.registry import SERVERS_MAX
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal

READY = ServerState.READY
SERVER = Server(
    "kiln-1", "bookings", "127.0.0.1", 9001, 6, "lahore-a", "punjab", READY, 7
)
LATER = SERVER._replace(incarnation=8)
TICK = RegistryTick()
LIVE, WITHDRAWN, EXPIRED = Presence.LIVE, Presence.WITHDRAWN, Presence.EXPIRED


def _announce(lease_s: float = 6.0, **changes: object) -> Announcement:
    return Announcement(SERVER._replace(**changes), lease_s)  # type: ignore[arg-type]


Step = tuple[float, RegistryInput]


def _run(steps: list[Step]) -> list[object]:
    registry = ServerRegistry("daemon-1", epoch=3)
    return [output for now, step in steps for output in registry.handle(step, now)]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([(0, _announce())], [LIVE], id="announced"),
        pytest.param([(0, _announce()), (1, _announce())], [LIVE], id="renewed"),
        pytest.param(
            [(0, _announce()), *((t, TICK) for t in range(1, 7))],
            [LIVE, EXPIRED],
            id="lease-expired",
        ),
        pytest.param(
            [(0, _announce()), (2, TICK), (3, _announce()), (5, TICK), (7, TICK)],
            [LIVE],
            id="renewal-extends",
        ),
        pytest.param(
            [(0, _announce()), *((t, TICK) for t in (2, 4, 6)), (7, _announce())],
            [LIVE, EXPIRED, LIVE],
            id="announced-after-expiry",
        ),
        pytest.param(
            [(0, _announce()), (60, TICK)], [LIVE], id="pause-of-the-registry"
        ),
        pytest.param(
            [(0, _announce()), (1, _announce(state=ServerState.DRAINING))],
            [LIVE, LIVE],
            id="draining",
        ),
        pytest.param(
            [(0, _announce()), (1, Withdrawal("kiln-1", 7))],
            [LIVE, WITHDRAWN],
            id="withdrawn",
        ),
        pytest.param(
            [(0, _announce()), *[(1, Withdrawal("kiln-1", 7))] * 2],
            [LIVE, WITHDRAWN],
            id="withdrawn-twice",
        ),
        pytest.param(
            [(0, _announce()), (1, Withdrawal("kiln-1", 6))],
            [LIVE],
            id="late-withdrawal-of-an-earlier-incarnation",
        ),
        pytest.param([(0, Withdrawal("kiln-9", 7))], [], id="withdrawal-of-unknown"),
        pytest.param(
            [(0, _announce()), (1, Withdrawal("kiln-1", 7)), (2, _announce())],
            [LIVE, WITHDRAWN],
            id="late-renewal-after-withdrawal",
        ),
        pytest.param(
            [
                (0, _announce()),
                (1, Withdrawal("kiln-1", 7)),
                (2, _announce(incarnation=8)),
            ],
            [LIVE, WITHDRAWN, LIVE],
            id="restarted-after-withdrawal",
        ),
    ],
)
def test_events(steps: list[Step], expected: list[Presence]) -> None:
    events = [output for output in _run(steps) if isinstance(output, ServerEvent)]
    assert [event.presence for event in events] == expected
    assert [event.rank for event in events] == [
        (3, number) for number in range(1, len(expected) + 1)
    ]


@pytest.mark.parametrize(
    ("first", "second", "fault"),
    [
        (None, _announce(lease_s=0.0), "lease_s"),
        (None, _announce(lease_s=-1.0), "lease_s"),
        (None, _announce(lease_s=3600.0), "lease_s"),
        (None, _announce(lease_s=float("nan")), "lease_s"),
        (None, _announce(port=0), "port"),
        (None, _announce(slots=0), "slots"),
        (None, _announce(server_id=""), "server_id"),
        (None, _announce(service="s" * 129), "service"),
        (None, _announce(incarnation=-1), "incarnation"),
        (_announce(), _announce(incarnation=6), "incarnation"),
        (_announce(), _announce(state=ServerState.STARTING), "state"),
        (_announce(state=ServerState.DRAINING), _announce(), "state"),
        (_announce(), _announce(service="catalogue"), "service"),
    ],
)
def test_refused(first: Announcement | None, second: Announcement, fault: str) -> None:
    steps: list[Step] = [] if first is None else [(0, first)]
    last = _run([*steps, (1, second)])[-1]
    assert isinstance(last, AnnouncementRefused)
    assert [text.partition(":")[0] for text in last.faults] == [fault]


def test_every_fault_is_reported() -> None:
    (refused,) = _run([(0, _announce(lease_s=0.0, port=0, slots=0))])
    assert isinstance(refused, AnnouncementRefused)
    assert len(refused.faults) == 3


def test_renewal_is_due_within_the_lease() -> None:
    accepted = _run([(0, _announce())])[0]
    assert isinstance(accepted, AnnouncementAccepted)
    assert accepted.renew_after_s * 2 < accepted.lease_s


def test_withdrawn_server_is_dropped() -> None:
    registry = ServerRegistry("daemon-1")
    registry.handle(_announce(), 0)
    registry.handle(Withdrawal("kiln-1", 7), 1)
    registry.handle(TICK, 1 + FORGET_S)
    assert registry.events() == ()


DRAINING = ServerState.DRAINING
DRAINED = EarlierDrains((("kiln-1", 7),))
RESTARTS = [  # what a restarted daemon hears, and the state of the server it lists
    ("delayed announcement", [DRAINED, _announce()], DRAINING),
    ("delayed announcement before the news", [_announce(), DRAINED], DRAINING),
    ("started again", [DRAINED, _announce(incarnation=8)], READY),
    ("started again before the news", [_announce(incarnation=8), DRAINED], READY),
    ("older news", [EarlierDrains((("kiln-1", 6),)), _announce()], READY),
    ("news of another server", [EarlierDrains((("kiln-2", 7),)), _announce()], READY),
]


@pytest.mark.parametrize(
    ("heard", "state"), [r[1:] for r in RESTARTS], ids=[r[0] for r in RESTARTS]
)
def test_a_server_that_left_is_not_used_again_after_a_restart(
    heard: list[RegistryInput], state: ServerState
) -> None:
    outputs = _run([(float(now), message) for now, message in enumerate(heard)])
    events = [output for output in outputs if isinstance(output, ServerEvent)]
    assert events[-1].server.state is state


LEAVES = Withdrawal("kiln-1", 7)
NO_INCARNATION = 2**62  # what the platform's adapter gives if a withdrawal names none
LATE_ANNOUNCEMENTS = [  # what a restarted daemon hears, and the servers that it lists
    ("of the lifetime that left", [LEAVES, _announce()], []),
    ("of an earlier one", [LEAVES, _announce(incarnation=6)], []),
    ("of a later one", [LEAVES, _announce(incarnation=8)], [8]),
    (
        "after a withdrawal without incarnation",
        [Withdrawal("kiln-1", NO_INCARNATION), _announce()],
        [],
    ),
    (
        "after withdrawals in the wrong order",
        [Withdrawal("kiln-1", 8), LEAVES, _announce(incarnation=8)],
        [],
    ),
    (
        "of a later lifetime that left before it was known",
        [_announce(), Withdrawal("kiln-1", 8), _announce(incarnation=8)],
        [7],
    ),
    ("of another server", [LEAVES, _announce(server_id="kiln-2")], [7]),
    ("when it is too late to matter", [LEAVES, *[TICK] * 130, _announce()], [7]),
]


@pytest.mark.parametrize(
    ("heard", "listed"),
    [case[1:] for case in LATE_ANNOUNCEMENTS],
    ids=[case[0] for case in LATE_ANNOUNCEMENTS],
)
def test_a_late_announcement_does_not_bring_back_a_server_that_left(
    heard: list[RegistryInput], listed: list[int]
) -> None:
    """A restarted daemon acknowledged the withdrawal of a server it did not know."""
    outputs = _run([(float(now), message) for now, message in enumerate(heard)])
    events = [output for output in outputs if isinstance(output, ServerEvent)]
    live = [event for event in events if event.presence is LIVE]
    assert [event.server.incarnation for event in live] == listed
    if len(events) > len(live):
        assert events[-1].server.incarnation == 8


def test_the_departure_of_an_unknown_server_is_reported_once() -> None:
    outputs = _run([(0, LEAVES), (1, LEAVES), (2, Withdrawal("kiln-1", 6))])
    reported = [each for each in outputs if isinstance(each, UnknownServerLeft)]
    assert reported == [UnknownServerLeft("kiln-1", 7)]


def test_the_departures_of_unknown_servers_are_bounded() -> None:
    registry = ServerRegistry("daemon-1")
    for number in range(2 * SERVERS_MAX):
        registry.handle(Withdrawal(f"kiln-{number}", 7), 0.0)
    late = _announce(server_id=f"kiln-{2 * SERVERS_MAX - 1}")
    assert isinstance(registry.handle(late, 1.0)[-1], AnnouncementRefused)
    forgotten = _announce(server_id="kiln-0")
    assert isinstance(registry.handle(forgotten, 1.0)[0], AnnouncementAccepted)


@pytest.mark.parametrize("has_left_before", [False, True])
def test_the_number_of_announced_servers_is_bounded(has_left_before: bool) -> None:
    """A later lifetime of a server that had left was admitted beyond the limit."""
    registry = ServerRegistry("daemon-1")
    if has_left_before:
        registry.handle(LEAVES, 0.0)
    for number in range(SERVERS_MAX):
        registry.handle(_announce(server_id=f"other-{number}"), 0.0)
    refused = registry.handle(_announce(incarnation=8), 0.0)[-1]
    assert isinstance(refused, AnnouncementRefused)
    assert "limit" in refused.faults[0]
