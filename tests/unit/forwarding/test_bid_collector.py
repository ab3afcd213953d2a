"""Test which daemons are asked for bids, and how unanswered ones are handled."""

from typing import NamedTuple

import pytest

from pimentobend_adapters._internal.forwarding import bid_collector as module
from pimentobend_adapters._internal.forwarding.bid_collector import KIND_ASK
from pimentobend_adapters._internal.forwarding.bid_collector import KIND_BIDS
from pimentobend_adapters._internal.forwarding.bid_collector import BidCollector
from pimentobend_adapters._internal.forwarding.bid_collector import Question
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.ports import ClockPort

QUESTION = Question("bookings", "r1")
OWN_ADDRESS = "10.0.0.0:7"


class Place(NamedTuple):
    """Location of a daemon, and the server that is registered with it."""

    data_centre: str
    region: str
    service: str = "bookings"
    is_ready: bool = True
    is_leaving: bool = False


NEAR = Place("a", "r")
REGION = Place("b", "r")
FAR = Place("c", "s")


def make_row(number: int, place: Place) -> PeerRow:
    server = HostedServer(f"s{number}", place.service, place.is_ready)
    return PeerRow(
        f"10.0.0.{number}:7",
        RowVersion(1, 0),
        number,
        place.data_centre,
        place.region,
        False,
        8,
        place.is_leaving,
        (server,),
    )


class ManualClock(ClockPort):
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class FakeLink(Transport):
    """Answer at once on behalf of the daemons in ``up``; drop the other messages."""

    def __init__(self, up: set[str]) -> None:
        self.up = up
        self.asked: list[str] = []
        self.risks: dict[str, float] = {}
        self.free_slots = 3
        self.bid_collector: BidCollector | None = None

    @property
    def address(self) -> str:
        return OWN_ADDRESS

    def start(self) -> None:
        pass

    def close(self) -> None:
        pass

    def send(self, peer: str, kind: str, payload: bytes) -> None:
        assert kind == KIND_ASK
        self.asked.append(peer)
        if peer in self.up:
            token = decode(payload, Ask).token
            bids = Bids(
                token,
                5,
                (
                    Bid(
                        f"s-{peer}",
                        self.risks.get(peer, 0.1),
                        self.free_slots,
                        0.0 if self.free_slots else 0.4,
                        0.2,
                    ),
                ),
            )
            assert self.bid_collector is not None
            self.bid_collector.handle_bids(Frame(peer, KIND_BIDS, encode(bids)))


class BidCollectorHarness:
    """A bid collector with a daemon at each place, the first ``down`` of them down."""

    def __init__(
        self, places: list[Place], monkeypatch: pytest.MonkeyPatch, down: int = 0
    ) -> None:
        short = {distance: 0.01 for distance in Distance}
        monkeypatch.setattr(module, "TIMEOUTS_S", short)
        rows = tuple(make_row(n + 1, place) for n, place in enumerate(places))
        self.rows = rows
        self.link = FakeLink({row.address for row in rows[down:]})
        self.clock = ManualClock()
        self.unreachable: list[str] = []
        own = make_row(0, Place("a", "r", service="other"))
        host: HostTasks = None  # type: ignore[assignment]
        self.bid_collector = BidCollector(
            lambda: own, self.link, host, self.clock, self.unreachable.append
        )
        self.link.bid_collector = self.bid_collector
        self.bid_collector.update_peers(rows)

    def ask(self, distance: Distance, organisation: str = "") -> int:
        self.link.asked.clear()
        question = QUESTION._replace(organisation=organisation)
        return len(self.bid_collector.ask(question, distance))


ASKED = [
    ("data centre", [NEAR, REGION, FAR], Distance.DATA_CENTRE, 1),
    ("region", [NEAR, REGION, FAR], Distance.REGION, 2),
    ("all distances", [NEAR, REGION, FAR], Distance.FAR, 3),
    ("at most two far daemons", [FAR] * 9, Distance.FAR, 2),
    ("at most two of another data centre", [REGION] * 9, Distance.REGION, 2),
    ("at most six daemons", [NEAR] * 30, Distance.DATA_CENTRE, 6),
    ("another service", [NEAR._replace(service="x")], Distance.FAR, 0),
    ("draining server", [NEAR._replace(is_ready=False)], Distance.FAR, 0),
    ("leaving daemon", [NEAR._replace(is_leaving=True)], Distance.FAR, 0),
    ("no daemon", [], Distance.FAR, 0),
]


@pytest.mark.parametrize(
    ("places", "distance", "asked"), [a[1:] for a in ASKED], ids=[a[0] for a in ASKED]
)
def test_which_daemons_are_asked(
    places: list[Place],
    distance: Distance,
    asked: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = BidCollectorHarness(places, monkeypatch)
    assert harness.ask(distance) == asked
    assert len(harness.link.asked) == asked


@pytest.mark.parametrize(
    ("place", "age_s", "asks_again"),
    [(NEAR, 0.02, False), (NEAR, 0.04, True), (FAR, 0.2, False), (FAR, 0.4, True)],
)
def test_how_long_a_bid_is_used(
    place: Place, age_s: float, asks_again: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = BidCollectorHarness([place], monkeypatch)
    harness.ask(Distance.FAR)
    harness.clock.time += age_s
    assert harness.ask(Distance.FAR) == 1
    assert bool(harness.link.asked) == asks_again


@pytest.mark.parametrize(
    ("places", "risk", "age_s", "asked_again"),
    [
        ([FAR] * 9, 0.1, 0.2, 0),
        ([FAR] * 9, 0.1, 0.4, 2),
        ([FAR] * 9, 0.9, 0.2, 2),
        ([NEAR] * 30, 0.1, 0.02, 0),
        ([NEAR] * 30, 0.1, 0.04, 6),
    ],
    ids=["far", "far, old", "far, failing", "near", "near, old"],
)
def test_fresh_bids_take_the_place_of_further_questions(
    places: list[Place],
    risk: float,
    age_s: float,
    asked_again: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a question to new daemons each time that a request is held."""
    harness = BidCollectorHarness(places, monkeypatch)
    harness.link.risks = {row.address: risk for row in harness.rows}
    harness.ask(Distance.FAR)
    harness.clock.time += age_s
    harness.ask(Distance.FAR)
    assert len(harness.link.asked) == asked_again


@pytest.mark.parametrize(
    ("beyond", "age_s", "found"),
    [
        (Distance.DATA_CENTRE, 0.0, 2),
        (Distance.DATA_CENTRE, 0.9, 2),
        (Distance.DATA_CENTRE, 1.1, 0),
        (Distance.REGION, 0.5, 1),
        (Distance.FAR, 0.5, 0),
    ],
)
def test_recent_bids_of_servers_further_away(
    beyond: Distance, age_s: float, found: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = BidCollectorHarness([NEAR, REGION, FAR], monkeypatch)
    harness.ask(Distance.FAR)
    harness.clock.time += age_s
    recent = harness.bid_collector.find_recent(QUESTION, beyond)
    assert len(recent) == found
    assert all(each.distance > beyond for each in recent)


def test_a_daemon_that_does_not_answer_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = BidCollectorHarness([NEAR, NEAR], monkeypatch, down=1)
    for _ in range(3):
        assert harness.ask(Distance.FAR) == 1
        harness.clock.time += 1.0
    assert harness.unreachable[0] == "10.0.0.1:7"
    harness.bid_collector.update_reachability("10.0.0.1:7", is_reachable=False)
    harness.ask(Distance.FAR)
    assert harness.link.asked == ["10.0.0.2:7"]
    harness.bid_collector.update_reachability("10.0.0.1:7", is_reachable=True)
    harness.ask(Distance.FAR)
    assert "10.0.0.1:7" in harness.link.asked


@pytest.mark.parametrize(("later_s", "may_ask_failing"), [(0.5, False), (1.5, True)])
def test_daemons_with_failing_servers_are_asked_last(
    later_s: float, may_ask_failing: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = BidCollectorHarness([FAR] * 4, monkeypatch)
    failing = {"10.0.0.1:7", "10.0.0.2:7"}
    harness.link.risks = dict.fromkeys(failing, 0.9)
    asked: set[str] = set()
    for _ in range(12):  # each daemon is asked at least once
        harness.ask(Distance.FAR)
        asked.update(harness.link.asked)
        harness.clock.time += 10.0
    assert failing < asked
    monkeypatch.setattr(module.random, "shuffle", lambda rows: None)
    harness.ask(Distance.FAR)
    assert set(harness.link.asked) == failing
    harness.clock.time += later_s
    harness.ask(Distance.FAR)
    assert bool(failing & set(harness.link.asked)) == may_ask_failing


@pytest.mark.parametrize(
    ("first", "second", "free_slots", "asks_again"),
    [
        ("a", "b", 3, False),
        ("a", "", 3, False),
        ("", "a", 3, False),
        ("a", "b", 0, True),
        ("", "a", 0, True),
        ("a", "a", 0, False),
    ],
)
def test_which_organisations_share_bids(
    first: str,
    second: str,
    free_slots: int,
    asks_again: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against asking again for each organisation where nothing lacks room."""
    harness = BidCollectorHarness([NEAR], monkeypatch)
    harness.link.free_slots = free_slots
    assert harness.ask(Distance.FAR, first) == 1
    assert harness.ask(Distance.FAR, second) == 1
    assert bool(harness.link.asked) == asks_again


def test_the_bids_of_many_organisations_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = BidCollectorHarness([NEAR], monkeypatch)
    harness.link.free_slots = 0
    for number in range(module.CACHE_LIMIT + 10):
        harness.ask(Distance.FAR, f"o{number}")
    assert len(harness.bid_collector._cached) == module.CACHE_LIMIT
    assert harness.ask(Distance.FAR, f"o{number}") == 1
    assert not harness.link.asked
