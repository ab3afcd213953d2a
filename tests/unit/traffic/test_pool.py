"""Test the replies of a pool's traffic to single messages."""

import pytest
import traffic_values as values

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficTick
from pimentobend_core._internal.traffic.pool import PoolTraffic

FAR = "karachi-a/sindh"
NEAR = "lahore-b/punjab"


def _complete_requests(
    traffic: PoolTraffic, route: str, held_s: float, now: float
) -> float:
    """Complete 30 requests of a route in sequence; return a time 2 s after the last."""
    for ticket in range(10_000, 10_030):
        (granted,) = traffic.handle(
            values.create_acquire(ticket, now + 60, route=route), now
        )
        assert isinstance(granted, Granted)
        now += held_s
        traffic.handle(values.create_ended(ticket, granted.server.server_id), now)
    return now + 2.0


@pytest.mark.parametrize(
    ("servers", "deadline", "reason"),
    [
        pytest.param((), 10.0, RefusalReason.NO_SERVER, id="no server"),
        pytest.param(
            (values.create_server(1, state=ServerState.STARTING),),
            10.0,
            RefusalReason.NO_SERVER,
            id="starting",
        ),
        pytest.param(
            (values.create_server(1, state=ServerState.DRAINING),),
            10.0,
            RefusalReason.NO_SERVER,
            id="draining",
        ),
        pytest.param(
            (values.create_server(1),), 1.0, RefusalReason.DEADLINE, id="at deadline"
        ),
        pytest.param(
            (values.create_server(1),), 0.5, RefusalReason.DEADLINE, id="past deadline"
        ),
    ],
)
def test_refusal_is_not_run(
    servers: tuple[Server, ...], deadline: float, reason: RefusalReason
) -> None:
    traffic = values.create_traffic(*servers)
    (output,) = traffic.handle(values.create_acquire(1, deadline), 1.0)
    assert isinstance(output, Rejected)
    assert output.refusal.ran is Ran.NOT_RUN
    assert output.refusal.reason is reason
    assert output.refusal.retry_after_s is not None
    assert output.refusal.retry_after_s >= 1


@pytest.mark.parametrize(("slots", "queue_limit"), [(1, 1), (3, 4), (6, 2)])
def test_full_pool_queues_then_refuses(slots: int, queue_limit: int) -> None:
    traffic = values.create_traffic(
        values.create_server(1, slots), queue_limit=queue_limit
    )
    for ticket in range(slots):
        (output,) = traffic.handle(values.create_acquire(ticket), 0.0)
        assert isinstance(output, Granted)
    for ticket in range(slots, slots + queue_limit):
        assert traffic.handle(values.create_acquire(ticket), 0.0) == ()
    (output,) = traffic.handle(values.create_acquire(99), 0.0)
    assert isinstance(output, Rejected)
    assert output.refusal.reason is RefusalReason.QUEUE_FULL
    (output,) = traffic.handle(values.create_ended(0, "s1"), 0.1)
    assert isinstance(output, Granted)
    assert output.ticket == slots


@pytest.mark.parametrize(
    ("first_deadline", "second_deadline", "served"),
    [(10.0, 5.0, 3), (5.0, 10.0, 2), (5.0, 5.0, 2)],
)
def test_earliest_deadline_is_served_first(
    first_deadline: float, second_deadline: float, served: int
) -> None:
    traffic = values.create_traffic(values.create_server(1, 1))
    traffic.handle(values.create_acquire(1), 0.0)
    traffic.handle(values.create_acquire(2, first_deadline), 0.0)
    traffic.handle(values.create_acquire(3, second_deadline), 0.0)
    (output,) = traffic.handle(values.create_ended(1, "s1"), 0.1)
    assert output.ticket == served


@pytest.mark.parametrize(
    ("message", "freed"),
    [
        (Abandon(1), True),
        (values.create_ended(1, "s1"), True),
        (values.create_ended(1, "s1", AttemptKind.NO_ANSWER), True),
        (values.create_ended(1, "s1", AttemptKind.CANCELLED), True),
        (values.create_ended(77, "s1"), False),
        (Abandon(77), False),
        (TrafficTick(), False),
    ],
    ids=lambda value: type(value).__name__,
)
def test_slot_freed_once(message: Abandon, freed: bool) -> None:
    traffic = values.create_traffic(values.create_server(1, 1))
    traffic.handle(values.create_acquire(1), 0.0)
    traffic.handle(values.create_acquire(2), 0.0)
    traffic.handle(values.create_acquire(3), 0.0)
    outputs = traffic.handle(message, 0.1) + traffic.handle(message, 0.1)
    assert [output.ticket for output in outputs] == ([2] if freed else [])


@pytest.mark.parametrize(
    ("in_use", "granted"),
    [(3, 1), (4, 1), (5, 0), (8, 0), (None, 1)],
)
def test_load_of_other_daemons_is_respected(in_use: int | None, granted: int) -> None:
    # The report includes this daemon's four requests, also the one that ended.
    traffic = values.create_traffic(values.create_server(1, 4))
    for ticket in range(6):
        traffic.handle(values.create_acquire(ticket), 0.0)
    outputs = traffic.handle(values.create_ended(0, "s1", in_use=in_use, slots=4), 0.1)
    assert len(outputs) == granted


@pytest.mark.parametrize(
    ("weights", "others_state", "expected"),
    [
        ((("s1", 0.0),), ServerState.READY, {"s2"}),
        ((), ServerState.DRAINING, {"s1"}),
        ((), ServerState.STARTING, {"s1"}),
        ((), ServerState.READY, {"s1", "s2"}),
    ],
)
def test_unusable_servers_get_nothing(
    weights: tuple[tuple[str, float], ...],
    others_state: ServerState,
    expected: set[str],
) -> None:
    traffic = values.create_traffic(values.create_server(1), values.create_server(2))
    traffic.handle(HealthChanged(weights), 0.0)
    servers = (values.create_server(1), values.create_server(2, state=others_state))
    traffic.handle(ServersChanged(servers), 0.0)
    outputs = [
        output
        for ticket in range(6)
        for output in traffic.handle(values.create_acquire(ticket), 0.0)
    ]
    assert {
        output.server.server_id for output in outputs if isinstance(output, Granted)
    } == expected


@pytest.mark.parametrize(
    ("places", "requests", "expected"),
    [
        pytest.param(("lahore-a/punjab", NEAR, FAR), 2, {"s0"}, id="near first"),
        pytest.param(("lahore-a/punjab", NEAR, FAR), 6, {"s0", "s1"}, id="spill over"),
        pytest.param(("lahore-a/punjab", FAR), 5, {"s0"}, id="not to the far region"),
        pytest.param((FAR,), 2, {"s0"}, id="only the far region"),
    ],
)
def test_near_servers_go_first(
    places: tuple[str, ...], requests: int, expected: set[str]
) -> None:
    servers = [
        values.create_server(number, place=place) for number, place in enumerate(places)
    ]
    traffic = values.create_traffic(*servers)
    outputs = [
        output
        for ticket in range(requests)
        for output in traffic.handle(values.create_acquire(ticket), 0.0)
    ]
    assert {
        output.server.server_id for output in outputs if isinstance(output, Granted)
    } == expected


def test_far_region_serves_the_overflow() -> None:
    servers = (values.create_server(1, 1), values.create_server(2, place=FAR))
    traffic = values.create_traffic(*servers, queue_limit=1)
    outputs = [traffic.handle(values.create_acquire(one), 0.0) for one in range(3)]
    (output,) = outputs[2]
    assert isinstance(output, Granted)
    assert output.server.server_id == "s2"


@pytest.mark.parametrize(
    ("failure", "expected"),
    [(AttemptKind.NO_ANSWER, "s2"), (AttemptKind.NOT_CONNECTED, "s2")],
)
def test_retry_avoids_the_server_that_failed(
    failure: AttemptKind, expected: str
) -> None:
    traffic = values.create_traffic(
        values.create_server(1), values.create_server(2, place=NEAR)
    )
    (first,) = traffic.handle(values.create_acquire(1), 0.0)
    assert isinstance(first, Granted)
    assert first.server.server_id == "s1"
    traffic.handle(values.create_ended(1, "s1", failure), 0.1)
    retry = values.create_acquire(2, excluded=frozenset({"s1"}))
    (second,) = traffic.handle(retry, 0.1)
    assert isinstance(second, Granted)
    assert second.server.server_id == expected


def test_retry_reuses_a_server_when_all_were_tried() -> None:
    traffic = values.create_traffic(values.create_server(1))
    traffic.handle(values.create_acquire(1), 0.0)
    traffic.handle(values.create_ended(1, "s1", AttemptKind.NO_ANSWER), 0.1)
    retry = values.create_acquire(2, excluded=frozenset({"s1"}))
    (output,) = traffic.handle(retry, 0.1)
    assert isinstance(output, Granted)


@pytest.mark.parametrize(("state", "limit"), [("new", 1), ("warm", 4)])
def test_cold_server_ramps_up(state: str, limit: int) -> None:
    traffic = values.create_traffic(values.create_server(1, 4))
    incarnation = 2 if state == "new" else 1
    announced = values.create_server(1, 4, incarnation=incarnation)
    traffic.handle(ServersChanged((announced,)), 5.0)
    outputs = [
        output
        for ticket in range(4)
        for output in traffic.handle(values.create_acquire(ticket, 99.0), 5.0)
    ]
    assert len(outputs) == limit
    later = traffic.handle(TrafficTick(), 20.0)
    assert len(outputs) + len(later) == 4


@pytest.mark.parametrize(("route", "granted"), [("report", 2), ("lookup", 3)])
def test_long_work_leaves_a_slot_for_short(route: str, granted: int) -> None:
    traffic = values.create_traffic(values.create_server(1, 3), queue_limit=50)
    now = _complete_requests(traffic, "lookup", 0.02, 0.0)
    now = _complete_requests(traffic, "report", 1.0, now)
    now = _complete_requests(traffic, "lookup", 0.02, now)
    outputs = [
        output
        for ticket in range(3)
        for output in traffic.handle(
            values.create_acquire(ticket, now + 60, route=route), now
        )
    ]
    assert len(outputs) == granted


def test_request_that_would_miss_its_deadline_is_refused() -> None:
    traffic = values.create_traffic(values.create_server(1))
    now = _complete_requests(traffic, "book", 1.0, 0.0)
    (output,) = traffic.handle(values.create_acquire(1, now + 0.5), now)
    assert isinstance(output, Rejected)
    assert output.refusal.reason is RefusalReason.DEADLINE


def test_organisation_over_its_share_is_displaced() -> None:
    traffic = values.create_traffic(values.create_server(1, 1), queue_limit=20)
    for number in range(20):
        message = values.create_acquire(number, 99.0, organisation=f"small{number}")
        for output in traffic.handle(message, 0.0):
            traffic.handle(values.create_ended(number, "s1"), 0.0)
            assert isinstance(output, Granted)
    for ticket in range(100, 121):
        traffic.handle(values.create_acquire(ticket, 99.0, organisation="big"), 0.1)
    (output,) = traffic.handle(
        values.create_acquire(200, 99.0, organisation="small1"), 0.1
    )
    assert isinstance(output, Rejected)
    assert output.ticket != 200
    assert output.refusal.reason is RefusalReason.FAIR_SHARE
    assert output.refusal.status == 429


@pytest.mark.parametrize(
    ("busy", "is_granted"), [(0, True), (1, True), (2, False), (4, False)]
)
def test_hedge_takes_only_spare_slots(busy: int, is_granted: bool) -> None:
    traffic = values.create_traffic(values.create_server(1, 3))
    for ticket in range(busy):
        traffic.handle(values.create_acquire(ticket), 0.0)
    (output,) = traffic.handle(values.create_acquire(50, is_hedge=True), 0.0)
    assert isinstance(output, Granted) is is_granted


def test_smaller_queue_limit_refuses_the_last() -> None:
    traffic = values.create_traffic(values.create_server(1, 1))
    for ticket in range(4):
        traffic.handle(values.create_acquire(ticket, 10.0 + ticket), 0.0)
    outputs = traffic.handle(ConfigurePool(values.create_pool(1)), 0.1)
    assert [output.ticket for output in outputs] == [3, 2]


def test_queue_is_refused_when_the_last_server_goes() -> None:
    traffic = values.create_traffic(values.create_server(1, 1))
    for ticket in range(3):
        traffic.handle(values.create_acquire(ticket), 0.0)
    outputs = traffic.handle(ServersChanged(()), 0.1)
    assert [output.ticket for output in outputs] == [1, 2]
    assert traffic.dump()["queued"] == 0


GOOD, FAILED = AttemptKind.ANSWERED, AttemptKind.NO_ANSWER
# Name, how the first server's request ended, whether the next may be repeated, its
# time, and the number of servers that 40 such requests may go to.
PROOFS = [
    ("booking, one server proven", GOOD, False, 1.0, 1),
    ("look-up, one server proven", GOOD, True, 1.0, 3),
    ("booking, none proven", FAILED, False, 1.0, 2),  # not the one that failed
    ("booking, all had time to be tested", GOOD, False, 10.0, 3),
]


@pytest.mark.parametrize(
    ("first", "repeatable", "now", "servers"),
    [p[1:] for p in PROOFS],
    ids=[p[0] for p in PROOFS],
)
def test_a_booking_goes_to_a_server_that_has_answered_well(
    first: AttemptKind, repeatable: bool, now: float, servers: int
) -> None:
    traffic = values.create_traffic(*(values.create_server(n) for n in range(3)))
    (granted,) = traffic.handle(values.create_acquire(1), 0.1)
    assert isinstance(granted, Granted)
    traffic.handle(values.create_ended(1, granted.server.server_id, first), 0.2)
    used = set()
    for ticket in range(2, 42):
        acquire = values.create_acquire(ticket, deadline=60.0, repeatable=repeatable)
        (granted,) = traffic.handle(acquire, now)
        assert isinstance(granted, Granted)
        used.add(granted.server.server_id)
        traffic.handle(Abandon(ticket), now)
    assert len(used) == servers
