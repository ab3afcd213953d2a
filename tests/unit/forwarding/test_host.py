"""Check what the daemon beside a server runs, declines and joins."""

import pytest

from pimentobend_core._internal.forwarding.host import KEEP_S
from pimentobend_core._internal.forwarding.host import QUEUE_LIMIT
from pimentobend_core._internal.forwarding.host import TRIAL_INTERVAL_S
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import Joined
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StopTaking
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

SERVER = Server("s", "bookings", "10.0.0.1", 80, 2, "a", "r", ServerState.READY, 1)
TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=10.0)
DRAINING = SERVER._replace(state=ServerState.DRAINING)
RESTARTED = SERVER._replace(incarnation=2)


def submit(
    name: str, *, priority: int = 1, safe: bool = False, deadline: float = 10.0
) -> Submit:
    return Submit(name, "s", "r1", priority, safe, 1.0, deadline)


class Bench:
    """Hold a host with one server of two slots."""

    def __init__(self, server: Server = SERVER) -> None:
        self.host = ServerHost(7, TERMS)
        self.now = 0.0
        self.give(ServerListed(server))

    def give(self, *messages: HostInput) -> list[HostOutput]:
        outputs: list[HostOutput] = []
        for message in messages:
            outputs.extend(self.host.handle(message, self.now))
        return outputs

    def bid(self) -> Bids:
        (bids,) = self.give(Ask(3, "bookings", "r1"))
        assert isinstance(bids, Bids)
        return bids


def started(*names: str) -> list[HostOutput]:
    return [StartCall(name, SERVER) for name in names]


def declined(name: str, reason: DeclineReason) -> list[HostOutput]:
    return [Declined(name, reason)]


def ended(name: str, kind: EndKind = EndKind.GOOD) -> CallEnded:
    return CallEnded(name, kind)


STEPS: list[tuple[str, list[HostInput], list[HostOutput]]] = [
    ("free slots", [submit("1"), submit("2")], started("1", "2")),
    ("no slot left", [submit("1"), submit("2"), submit("3")], started("1", "2")),
    (
        "a slot is freed",
        [submit("1"), submit("2"), submit("3"), ended("2")],
        started("1", "2", "3"),
    ),
    (
        "the urgent one goes first",
        [
            submit("1"),
            submit("2"),
            submit("3", priority=2),
            submit("4", priority=0),
            ended("1"),
        ],
        started("1", "2", "4"),
    ),
    ("sent again", [submit("1"), submit("1")], [*started("1"), Joined("1")]),
    (
        "sent again after its end",
        [submit("1"), ended("1"), submit("1")],
        [*started("1"), Joined("1")],
    ),
    (
        "a late copy of what was declined",
        [ServerListed(DRAINING), submit("1"), ServerListed(SERVER), submit("1")],
        [*declined("1", DeclineReason.DRAINING), Joined("1")],
    ),
    (
        "a late copy of what was withdrawn while it waited",
        [
            submit("1"),
            submit("2"),
            submit("3"),
            Withdraw("3"),
            ended("1"),
            submit("3"),
        ],
        [*started("1", "2"), *declined("3", DeclineReason.WITHDRAWN), Joined("3")],
    ),
    (
        "draining turns away those that wait",
        [submit("1"), submit("2"), submit("3"), ServerListed(DRAINING)],
        [*started("1", "2"), *declined("3", DeclineReason.DRAINING)],
    ),
    (
        "a server that left turns away those that wait",
        [submit("1"), submit("2"), submit("3"), ServerUnlisted("s"), submit("4")],
        [
            *started("1", "2"),
            *declined("3", DeclineReason.NO_SERVER),
            *declined("4", DeclineReason.NO_SERVER),
        ],
    ),
    (
        "stopping",
        [StopTaking(), submit("1")],
        declined("1", DeclineReason.DRAINING),
    ),
    (
        "a passed deadline",
        [submit("1", deadline=0.0)],
        declined("1", DeclineReason.DEADLINE),
    ),
    (
        "a running call that may be repeated is broken off",
        [submit("1", safe=True), Withdraw("1")],
        [*started("1"), CancelCall("1")],
    ),
    (
        "a running call that may not be repeated goes on",
        [submit("1"), Withdraw("1")],
        started("1"),
    ),
    (
        "repeats within the budget",
        [submit(f"r{number}")._replace(is_repeat=True) for number in range(2)],
        started("r0", "r1"),
    ),
    (
        "a repeat over the budget",
        [
            ServiceSizes((("bookings", 10),)),
            submit("r")._replace(is_repeat=True),
            submit("first"),
        ],
        [*declined("r", DeclineReason.BUDGET), *started("first")],
    ),
    (
        "calls that may belong to a repeat are counted and not held back",
        [
            *(submit(f"c{n}")._replace(may_follow_repeat=True) for n in range(5)),
            submit("r")._replace(is_repeat=True),
        ],
        [*started("c0", "c1"), *declined("r", DeclineReason.BUDGET)],
    ),
    ("nothing to withdraw", [Withdraw("1")], []),
    ("an end of nothing", [ended("1")], []),
    (
        "a restart of the server takes no end of its earlier life",
        [submit("1"), ServerListed(RESTARTED), ended("1")],
        started("1"),
    ),
]


@pytest.mark.parametrize(
    ("messages", "outputs"), [step[1:] for step in STEPS], ids=[s[0] for s in STEPS]
)
def test_steps(messages: list[HostInput], outputs: list[HostOutput]) -> None:
    assert Bench().give(*messages) == outputs


def test_the_queue_is_bounded() -> None:
    bench = Bench()
    names = [str(number) for number in range(QUEUE_LIMIT + 3)]
    outputs = bench.give(*(submit(name) for name in names))
    assert outputs[-1] == Declined(names[-1], DeclineReason.FULL)
    assert bench.bid().bids == ()


def test_queued_work_expires_with_its_deadline() -> None:
    bench = Bench()
    bench.give(submit("1"), submit("2"), submit("3", deadline=1.0))
    bench.now = 1.0
    assert bench.give(HostTick()) == declined("3", DeclineReason.DEADLINE)


def test_records_are_kept_past_the_deadline_and_then_forgotten() -> None:
    bench = Bench()
    bench.give(submit("1", deadline=1.0), ended("1"))
    bench.now = KEEP_S
    bench.give(HostTick())
    assert bench.give(submit("1", deadline=90.0)) == [Joined("1")]
    bench.now = KEEP_S + 2.0
    bench.give(HostTick())
    assert bench.host.dump()["attempts"] == 0


@pytest.mark.parametrize(
    ("messages", "offers"),
    [
        ([], True),
        ([ServerListed(DRAINING)], False),
        ([ServerUnlisted("s")], False),
        ([StopTaking()], False),
        ([submit("1"), ended("1", EndKind.UNREACHABLE)], False),
        ([submit("1"), ended("1", EndKind.FAILED)], True),
    ],
)
def test_who_bids(messages: list[HostInput], offers: bool) -> None:
    bench = Bench()
    bench.give(*messages)
    bids = bench.bid()
    assert (bids.token, bids.process_id) == (3, 7)
    assert bool(bids.bids) == offers


@pytest.mark.parametrize(
    ("ends", "is_doubtful"),
    [([EndKind.GOOD] * 5, False), ([EndKind.FAILED] * 5, True)],
)
def test_a_doubtful_server_that_is_quiet_wants_a_trial(
    ends: list[EndKind], is_doubtful: bool
) -> None:
    bench = Bench()
    for number, kind in enumerate(ends):
        bench.give(submit(str(number)), ended(str(number), kind))
        bench.now += 0.1
    assert not bench.bid().bids[0].wants_trial
    bench.now += TRIAL_INTERVAL_S
    assert bench.bid().bids[0].wants_trial == is_doubtful


def test_a_server_that_does_not_answer_is_told_by_the_age_of_what_it_runs() -> None:
    bench = Bench()
    for number in range(20):
        bench.give(submit(str(number)))
        bench.now += 0.1
        bench.give(ended(str(number)))
    before = bench.bid().bids[0].risk
    bench.give(submit("hung"))
    bench.now += 1.0
    assert before < 0.1 < 0.5 < bench.bid().bids[0].risk
