"""Test that requests are admitted by the room that the calls of their runs have."""

import pytest
from calls_play import CALL
from calls_play import CALLED_S
from calls_play import DIRECT
from calls_play import PURCHASE
from calls_play import ROOM
from calls_play import CallsPlay
from calls_play import Kind

from pimentobend_core._internal.forwarding.admission import Admission
from pimentobend_core._internal.forwarding.admission import find_room
from pimentobend_core._internal.forwarding.calls_behind import CallsBehind
from pimentobend_core._internal.forwarding.fair_parts import CALLS
from pimentobend_core._internal.forwarding.fair_parts import DIRECT as DIRECT_GROUP
from pimentobend_core._internal.forwarding.fair_parts import Group
from pimentobend_core._internal.forwarding.fair_parts import GroupDebts
from pimentobend_core._internal.forwarding.fair_parts import Want
from pimentobend_core._internal.forwarding.fair_parts import find_part
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallRoomSeen
from pimentobend_core._internal.forwarding.senders import LocalRun
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.forwarding.senders import judge_sender
from pimentobend_core._internal.models.request import UNKNOWN_SENDER
from pimentobend_core._internal.models.request import Sender

BID = Bid("s", 0.02, 1, 0.0, 0.1)
PLAY_S = 20.0
REFUSED_WITHIN_S = 0.3


def play(
    purchases: float, direct: float, fails: frozenset[Kind] = frozenset()
) -> CallsPlay:
    played = CallsPlay(purchases, direct, 1)
    played.fails = lambda kind: kind in fails and played.random.random() < 0.3
    played.play(PLAY_S)
    return played


def share(played: CallsPlay, kind: Kind, outcome: str) -> float:
    ended = ("served", "refused", "failed")
    total = sum(played.counts[kind.route, each] for each in ended)
    return played.counts[kind.route, outcome] / max(1, total)


# Purchases and direct requests, as shares of the room of the called service; the least
# share of each that is served, and the least use of the room by what is served.
LOADS = [
    ("room for all", 0.3, 0.4, 0.99, 0.99, 0.55),
    ("twice the room", 1.0, 1.0, 0.4, 0.5, 0.83),
    ("twice the room, mostly calls", 1.6, 0.4, 0.33, 0.9, 0.8),
]


@pytest.mark.parametrize(
    ("purchases", "direct", "least_purchases", "least_direct", "least_use"),
    [case[1:] for case in LOADS],
    ids=[case[0] for case in LOADS],
)
def test_calls_without_room_are_refused_before_their_runs(
    purchases: float,
    direct: float,
    least_purchases: float,
    least_direct: float,
    least_use: float,
) -> None:
    played = play(purchases, direct)
    served_s = {PURCHASE: CALLED_S, DIRECT: DIRECT.work_s}
    work_s = sum(
        played.counts[kind.route, "served"] * each for kind, each in served_s.items()
    )
    assert share(played, PURCHASE, "failed") < 0.1
    assert share(played, DIRECT, "failed") < 0.1
    assert share(played, PURCHASE, "served") >= least_purchases
    assert share(played, DIRECT, "served") >= least_direct
    assert work_s / (PLAY_S * ROOM) >= least_use
    assert max(played.refused_after_s, default=0.0) <= REFUSED_WITHIN_S


def test_calls_that_fail_for_other_reasons_refuse_no_runs() -> None:
    played = play(0.3, 0.3, frozenset({CALL}))
    assert share(played, PURCHASE, "refused") < 0.02


@pytest.mark.parametrize(
    ("shares", "sender", "refused"),
    [
        ((1.0, 1.0), UNKNOWN_SENDER, 0.0),
        ((0.5, 0.5), UNKNOWN_SENDER, 0.5),
        ((1.0, 0.2), UNKNOWN_SENDER, 0.4),
        ((0.0,), UNKNOWN_SENDER, 0.98),
        ((0.5,), Sender(is_call=True), 0.0),
        ((), UNKNOWN_SENDER, 0.0),
    ],
)
def test_a_share_of_the_requests_is_refused(
    shares: tuple[float, ...], sender: Sender, refused: float
) -> None:
    bids = [BID._replace(admit_share=each) for each in shares]
    drawn = [Admission(f"r{n}", sender).refuses(bids, 1.0) for n in range(4000)]
    assert sum(drawn) / 4000 == pytest.approx(refused, abs=0.03)


def test_a_request_is_drawn_once_and_anew_when_it_returns() -> None:
    bids = [BID._replace(admit_share=0.5)]
    admission = Admission("r1", UNKNOWN_SENDER)
    assert sum(admission.refuses(bids, at / 10) for at in range(100)) <= 1
    returns = [Admission("r1", UNKNOWN_SENDER).refuses(bids, at) for at in range(100)]
    assert 30 < sum(returns) < 70


def test_an_admitted_request_stands_for_the_refused_ones() -> None:
    bids = [BID._replace(admit_share=0.25)]
    admission = Admission("r1", UNKNOWN_SENDER)
    admission.refuses(bids, 1.0)
    assert admission.demand == 4.0


@pytest.mark.parametrize(
    ("calls_per_run", "room", "seconds", "expected"),
    [
        (2, (28.0, 14.0), 5, 1.0),
        (2, (28.0, 56.0), 1, 0.5),
        (2, (28.0, 56.0), 5, 0.5),
        (2, (1.0, 1000.0), 10, 0.05),
        (0, (28.0, 56.0), 5, 1.0),
    ],
)
def test_the_share_of_a_route_follows_the_room_behind_it(
    calls_per_run: int, room: tuple[float, float], seconds: int, expected: float
) -> None:
    behind = CallsBehind()
    for step in range(seconds * 10):
        now = step / 10
        behind.begin_run("orders")
        for _ in range(calls_per_run):
            behind.note(CallMade("stock", ("orders",)), now)
        behind.note(CallRoomSeen("stock", *room), now)
        behind.tick(now)
    assert behind.share("orders") == expected
    assert behind.share("other") == 1.0


def test_a_room_that_nobody_asks_for_is_tried_again() -> None:
    behind = CallsBehind()
    behind.begin_run("orders")
    behind.note(CallMade("stock", ("orders",)), 0.0)
    behind.note(CallRoomSeen("stock", 1.0, 10.0), 0.0)
    reports = [report for at in range(30) for report in behind.tick(at / 2)]
    assert behind.share("orders") == 1.0
    assert 1 < len(reports) <= 3  # 15 s, a report in 5 s at most
    assert [reports[0].share, reports[-1].share] == [0.5, 1.0]


@pytest.mark.parametrize(
    ("bids", "seen"),
    [
        ((), None),
        ((BID._replace(call_room=4.0, call_demand=8.0),) * 2, (8.0, 16.0)),
        ((BID._replace(call_room=4.0, call_demand=1.0, admit_share=0.5),), (0.5, 1.0)),
    ],
)
def test_rooms_are_summed_over_the_bids(
    bids: tuple[Bid, ...], seen: tuple[float, float] | None
) -> None:
    expected = None if seen is None else CallRoomSeen("stock", *seen)
    assert find_room("stock", bids) == expected


@pytest.mark.parametrize(
    ("offset_s", "route", "is_call"),
    [
        (-2.0, "orders", True),  # a call may have less time than its run
        (-0.002, "orders", True),
        (0.0, "orders", True),
        (0.03, "orders", True),
        (0.06, "orders", False),
        (0.0, "", False),  # the setting is off
    ],
)
def test_calls_end_with_their_runs(offset_s: float, route: str, is_call: bool) -> None:
    run = LocalRun(0.0, 101.0, 103.0, route, 2.0)
    local = LocalRuns((run,), 103.0)
    sender = judge_sender(local, 103.0 + offset_s, 100.0, is_local=True)
    assert sender.is_call is is_call
    assert sender.calling_routes == (("orders",) if is_call else ())
    assert sender.demand == (2.0 if is_call else 1.0)


@pytest.mark.parametrize(
    ("others", "part"),
    [([], 8.0), ([1], 7.0), ([20], 4.0), ([1, 20], 3.5), ([20, 20, 20], 2.0)],
)
def test_slots_are_divided_by_max_min(others: list[int], part: float) -> None:
    assert find_part([Want(each) for each in others], 8.0) == part


@pytest.mark.parametrize(
    ("others", "per_s", "is_delayed"),
    [
        ({}, 20.0, False),  # alone it may use everything
        ({CALLS: 20}, 20.0, True),  # 20 slots wanted, 4 are its part
        ({CALLS: 20}, 3.0, False),
        ({CALLS: 1}, 6.0, False),
    ],
)
def test_who_exceeds_its_part_is_due_later(
    others: dict[Group, int], per_s: float, is_delayed: bool
) -> None:
    debts = GroupDebts()
    for group, count in {DIRECT_GROUP: 8, **others}.items():
        for _ in range(count):
            debts.enter(group, 0.0, 8, 0.0)
    delay_s = 0.0
    for step in range(int(5 * per_s)):
        now = step / per_s
        delay_s = debts.delay_s(DIRECT_GROUP, 8, now)
        debts.enter(DIRECT_GROUP, 1.0, 8, now)
        debts.leave(DIRECT_GROUP, 0.0, 8, now, has_run=True)
    assert (delay_s > 1.0) is is_delayed
