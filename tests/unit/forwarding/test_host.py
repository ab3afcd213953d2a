"""Test which attempts the daemon of a server starts, queues and declines."""

from typing import Any

import pytest

from pimentobend_core._internal.forwarding.bidding import QUEUE_LIMIT
from pimentobend_core._internal.forwarding.bidding import TRIAL_INTERVAL_S
from pimentobend_core._internal.forwarding.host import CALL_REPORT_S
from pimentobend_core._internal.forwarding.host import RECORD_RETENTION_S
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import LocalRequestFailed
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StartDraining
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import BudgetState
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

SERVER = Server("s", "bookings", "10.0.0.1", 80, 2, "a", "r", ServerState.READY, 1)
TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=10.0)
DRAINING = SERVER._replace(state=ServerState.DRAINING)
RESTARTED = SERVER._replace(incarnation=2)


def submit(
    name: str, *, priority: int = 1, safe: bool = False, deadline: float = 10.0
) -> Submit:
    sender = Sender(is_client=True)
    return Submit(name, "s", "r1", priority, safe, 1.0, deadline, sender=sender)


class HostHarness:
    """A host with one registered server, by default ``SERVER`` with two slots.

    The server is here for a window of the budget before the time 0.
    """

    def __init__(self, server: Server = SERVER) -> None:
        self.host = ServerHost(7, TERMS)
        self.runs: list[LocalRuns] = []  # reported by the last call of ``give``
        self.now = -TERMS.window_s
        self.give(ServerListed(server), ServiceSizes((("bookings", 1),)))
        self.now = 0.0

    def give(self, *messages: HostInput) -> list[HostOutput]:
        outputs: list[HostOutput] = []
        for message in messages:
            outputs.extend(self.host.handle(message, self.now))
        self.runs = [each for each in outputs if isinstance(each, LocalRuns)]
        return [each for each in outputs if not isinstance(each, LocalRuns)]

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


SEQUENCES: list[tuple[str, list[HostInput], list[HostOutput]]] = [
    ("free slots", [submit("1"), submit("2")], started("1", "2")),
    ("no slot free", [submit("1"), submit("2"), submit("3")], started("1", "2")),
    (
        "a slot is freed",
        [submit("1"), submit("2"), submit("3"), ended("2")],
        started("1", "2", "3"),
    ),
    (
        "urgent work first",
        [
            submit("1"),
            submit("2"),
            submit("3", priority=2),
            submit("4", priority=0),
            ended("1"),
        ],
        started("1", "2", "4"),
    ),
    (
        "submitted twice",
        [submit("1"), submit("1")],
        [*started("1"), DuplicateSubmission("1")],
    ),
    (
        "submitted again after its end",
        [submit("1"), ended("1"), submit("1")],
        [*started("1"), DuplicateSubmission("1")],
    ),
    (
        "late copy of a declined attempt",
        [ServerListed(DRAINING), submit("1"), ServerListed(SERVER), submit("1")],
        [*declined("1", DeclineReason.DRAINING), DuplicateSubmission("1")],
    ),
    (
        "late copy of an attempt withdrawn while queued",
        [
            submit("1"),
            submit("2"),
            submit("3"),
            Withdraw("3"),
            ended("1"),
            submit("3"),
        ],
        [
            *started("1", "2"),
            *declined("3", DeclineReason.WITHDRAWN),
            DuplicateSubmission("3"),
        ],
    ),
    (
        "draining declines queued attempts",
        [submit("1"), submit("2"), submit("3"), ServerListed(DRAINING)],
        [*started("1", "2"), *declined("3", DeclineReason.DRAINING)],
    ),
    (
        "a server that left declines queued attempts",
        [submit("1"), submit("2"), submit("3"), ServerUnlisted("s"), submit("4")],
        [
            *started("1", "2"),
            *declined("3", DeclineReason.NO_SERVER),
            *declined("4", DeclineReason.NO_SERVER),
        ],
    ),
    (
        "stopping",
        [StartDraining(), submit("1")],
        declined("1", DeclineReason.DRAINING),
    ),
    (
        "stopping with a queue",
        [submit("1"), submit("2"), submit("3"), StartDraining()],
        [*started("1", "2"), *declined("3", DeclineReason.DRAINING)],
    ),
    (
        "a passed deadline",
        [submit("1", deadline=0.0)],
        declined("1", DeclineReason.DEADLINE),
    ),
    (
        "a running repeatable call is cancelled",
        [submit("1", safe=True), Withdraw("1")],
        [*started("1"), CancelCall("1")],
    ),
    (
        "a running non-repeatable call continues",
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
        [
            Declined(
                "r", DeclineReason.BUDGET, budget=BudgetState(0, 0.0, 1.0, 10, 10.0)
            ),
            *started("first"),
        ],
    ),
    (
        "a recall leaves a running attempt",
        [submit("1", safe=True), Withdraw("1", only_queued=True)],
        started("1"),
    ),
    (
        "a recall declines a queued attempt",
        [submit("1"), submit("2"), submit("3"), Withdraw("3", only_queued=True)],
        [*started("1", "2"), *declined("3", DeclineReason.WITHDRAWN)],
    ),
    ("withdrawal of an unknown attempt", [Withdraw("1")], []),
    (
        "a withdrawal that overtakes its attempt",
        [Withdraw("1"), submit("1")],
        declined("1", DeclineReason.WITHDRAWN),
    ),
    (
        "a recall that overtakes its attempt",
        [Withdraw("1", only_queued=True), submit("1")],
        declined("1", DeclineReason.WITHDRAWN),
    ),
    ("end of an unknown attempt", [ended("1")], []),
    (
        "end of a call from before the server restarted",
        [submit("1"), ServerListed(RESTARTED), ended("1")],
        started("1"),
    ),
]


@pytest.mark.parametrize(
    ("messages", "outputs"),
    [sequence[1:] for sequence in SEQUENCES],
    ids=[s[0] for s in SEQUENCES],
)
def test_outputs_of_message_sequences(
    messages: list[HostInput], outputs: list[HostOutput]
) -> None:
    assert HostHarness().give(*messages) == outputs


# Name, (target in s, rank) of attempts "a" and "b", and the order in which they start.
QUEUES = [
    ("in order of arrival", [(1.0, 1), (1.0, 1)], "ab"),
    ("the more urgent first", [(1.0, 1), (1.0, 0)], "ba"),
    ("a short call before long ones", [(2.0, 0), (0.2, 2)], "ba"),
    ("urgent work before work with a shorter target", [(1.0, 2), (1.5, 0)], "ba"),
]


@pytest.mark.parametrize(
    ("waiting", "order"), [q[1:] for q in QUEUES], ids=[q[0] for q in QUEUES]
)
def test_order_of_the_queue(waiting: list[tuple[float, int]], order: str) -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    harness.give(submit("first"))
    for name, (target_s, rank) in zip("ab", waiting, strict=True):
        attempt = submit(name, priority=rank)
        harness.give(attempt._replace(target_s=target_s, route=f"r{target_s}"))
    got = "".join(
        output.attempt_id
        for name in ("first", order[0])
        for output in harness.give(ended(name))
        if isinstance(output, StartCall)
    )
    assert got == order


@pytest.mark.parametrize(("left_s", "is_started"), [(0.4, False), (0.6, True)])
def test_work_that_cannot_end_in_time_is_declined(
    left_s: float, is_started: bool
) -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    for number in range(60):  # teach the host that the route's answers take 1 s
        harness.give(submit(f"{number}", deadline=999.0))
        harness.now += 1.0
        harness.give(ended(f"{number}"))
    harness.give(submit("running", deadline=999.0))
    harness.give(submit("waiting", deadline=harness.now + 5.0))
    harness.now += 5.0 - left_s
    outputs = harness.give(ended("running"))
    expected = started("waiting")
    if not is_started:
        expected = declined("waiting", DeclineReason.DEADLINE)
    assert [type(each) for each in outputs] == [type(each) for each in expected]


@pytest.mark.parametrize("rank", [0, 1, 2])
@pytest.mark.parametrize("waiting", [1, 4, 8])
def test_a_bid_counts_all_work_queued_before(rank: int, waiting: int) -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    harness.give(*(submit(f"{n}", priority=rank) for n in range(waiting + 1)))
    harness.now = 0.3
    wait_s = harness.bid().bids[0].wait_s
    alone = HostHarness(SERVER._replace(slots=1))
    alone.give(submit("running", priority=rank))
    assert wait_s == pytest.approx((waiting + 1) * alone.bid().bids[0].wait_s, rel=0.01)


@pytest.mark.parametrize(("is_cold", "is_doubtful"), [(True, False), (False, True)])
def test_slow_answers_of_a_cold_server_are_expected(
    is_cold: bool, is_doubtful: bool
) -> None:
    harness = HostHarness(SERVER._replace(is_cold=is_cold, slots=6))
    harness.give(*(submit(f"{number}") for number in range(6)))
    harness.now = 0.6  # three times the median that is assumed before any answer
    assert (harness.bid().bids[0].risk > 0.9) == is_doubtful


def test_durations_of_a_cold_server_are_scaled_back() -> None:
    waits = []
    for is_cold in (True, False):
        server = SERVER._replace(is_cold=is_cold, slots=1)
        harness = HostHarness(server)
        for number in range(30):
            harness.give(submit(f"{number}", deadline=999.0))
            harness.now += 2.0 if is_cold else 1.0
            harness.give(ended(f"{number}"))
        harness.give(ServerListed(server._replace(is_cold=False)), submit("running"))
        waits.append(harness.bid().bids[0].wait_s)
    assert waits[0] == pytest.approx(waits[1], rel=0.01)


def test_a_short_route_is_bid_the_shorter_wait() -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    harness.give(submit("running"))
    short = submit("short")._replace(route="short", target_s=0.2)
    harness.give(short, *(submit(f"long{n}") for n in range(5)))
    waits = {}
    for route in ("short", "r1"):
        (bids,) = harness.give(Ask(3, "bookings", route))
        assert isinstance(bids, Bids)
        waits[route] = bids.bids[0].wait_s
    assert waits["short"] < waits["r1"] / 3


def test_the_queue_is_bounded() -> None:
    harness = HostHarness()
    names = [str(number) for number in range(QUEUE_LIMIT + 3)]
    outputs = harness.give(*(submit(name, deadline=999.0) for name in names))
    assert outputs[-1] == Declined(names[-1], DeclineReason.FULL)
    assert harness.bid().bids == ()


def test_queued_work_expires_with_its_deadline() -> None:
    harness = HostHarness()
    harness.give(submit("1"), submit("2"), submit("3", deadline=1.0))
    harness.now = 1.0
    assert harness.give(HostTick()) == declined("3", DeclineReason.DEADLINE)


def test_records_are_kept_past_the_deadline_and_then_forgotten() -> None:
    harness = HostHarness()
    harness.give(submit("1", deadline=1.0), ended("1"))
    harness.now = RECORD_RETENTION_S
    harness.give(HostTick())
    assert harness.give(submit("1", deadline=90.0)) == [DuplicateSubmission("1")]
    harness.now = RECORD_RETENTION_S + 2.0
    harness.give(HostTick())
    assert harness.host.dump()["attempts"] == 0


@pytest.mark.parametrize(
    ("messages", "offers"),
    [
        ([], True),
        ([ServerListed(DRAINING)], False),
        ([ServerUnlisted("s")], False),
        ([StartDraining()], False),
        ([submit("1"), ended("1", EndKind.UNREACHABLE)], False),
        ([submit("1"), ended("1", EndKind.FAILED)], True),
    ],
)
def test_servers_that_make_bids(messages: list[HostInput], offers: bool) -> None:
    harness = HostHarness()
    harness.give(*messages)
    bids = harness.bid()
    assert (bids.token, bids.process_id) == (3, 7)
    assert bool(bids.bids) == offers


@pytest.mark.parametrize(
    ("ends", "is_doubtful"),
    [([EndKind.GOOD] * 5, False), ([EndKind.FAILED] * 5, True)],
)
def test_a_doubtful_server_that_is_quiet_wants_a_trial(
    ends: list[EndKind], is_doubtful: bool
) -> None:
    harness = HostHarness()
    for number, kind in enumerate(ends):
        harness.give(submit(str(number)), ended(str(number), kind))
        harness.now += 0.1
    assert not harness.bid().bids[0].wants_trial
    harness.now += TRIAL_INTERVAL_S
    assert harness.bid().bids[0].wants_trial == is_doubtful


def test_an_overdue_answer_raises_the_risk() -> None:
    harness = HostHarness()
    for number in range(20):
        harness.give(submit(str(number)))
        harness.now += 0.1
        harness.give(ended(str(number)))
    before = harness.bid().bids[0].risk
    harness.give(submit("hung"))
    harness.now += 1.0
    assert before < 0.1 < 0.5 < harness.bid().bids[0].risk


def teach(harness: HostHarness, kind: EndKind, attempts: int) -> None:
    """Let attempts of 0.1 s end in a way that the host learns from."""
    for number in range(attempts):
        name = f"{kind.value}{number}"
        harness.give(submit(name, deadline=999.0))
        harness.now += 0.1
        harness.give(ended(name, kind))


LESSONS = [  # how the attempts end, whether the server is doubtful, whether it refuses
    ("answers", EndKind.GOOD, False, False),
    ("failures", EndKind.FAILED, True, False),
    ("refusals", EndKind.REFUSED, False, True),
]


@pytest.mark.parametrize(
    ("kind", "is_doubtful", "is_refusing"),
    [lesson[1:] for lesson in LESSONS],
    ids=[lesson[0] for lesson in LESSONS],
)
def test_refusals_are_told_from_failures(
    kind: EndKind, is_doubtful: bool, is_refusing: bool
) -> None:
    harness = HostHarness()
    teach(harness, kind, 8)
    (bid,) = harness.bid().bids
    assert (bid.risk > 0.5, bid.refusal_share > 0.5) == (is_doubtful, is_refusing)


CALLS = [  # time at which a local request failed, for an attempt from 1.0 to 1.5 s
    ("before the run", 0.9, True),
    ("during the run", 1.4, False),
    ("never", None, True),
]


@pytest.mark.parametrize(
    ("failed_at", "is_held_against"), [c[1:] for c in CALLS], ids=[c[0] for c in CALLS]
)
def test_a_failure_caused_by_a_call_of_the_server_is_not_its_own(
    failed_at: float | None, is_held_against: bool
) -> None:
    harness = HostHarness()
    teach(harness, EndKind.GOOD, 9)
    if failed_at == 0.9:
        harness.give(LocalRequestFailed())
    harness.now = 1.0
    before = harness.bid().bids[0].risk
    harness.give(*(submit(name) for name in "ab"))
    if failed_at == 1.4:
        harness.now = failed_at
        harness.give(LocalRequestFailed())
    harness.now = 1.5
    harness.give(*(ended(name, EndKind.FAILED) for name in "ab"))
    assert (harness.bid().bids[0].risk > before + 0.3) == is_held_against


QUEUED = [  # whether the waiting attempt may be repeated, and the reason it is declined
    ("not repeatable", False, DeclineReason.FAILING),
    ("repeatable", True, None),
]


@pytest.mark.parametrize(
    ("is_safe", "reason"), [q[1:] for q in QUEUED], ids=[q[0] for q in QUEUED]
)
def test_the_queue_of_a_server_that_hangs(
    is_safe: bool, reason: DeclineReason | None
) -> None:
    harness = HostHarness()
    teach(harness, EndKind.GOOD, 20)
    harness.give(submit("1", deadline=99.0), submit("2", deadline=99.0))
    harness.give(submit("3", safe=is_safe, deadline=99.0))
    harness.now += 1.5
    expected = [] if reason is None else declined("3", reason)
    assert harness.give(HostTick()) == expected


@pytest.mark.parametrize(("left_s", "is_queued"), [(3.0, True), (1.0, False)])
def test_an_attempt_whose_turn_would_come_too_late_is_declined_at_once(
    left_s: float, is_queued: bool
) -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    teach(harness, EndKind.GOOD, 20)
    harness.give(*(submit(f"w{n}", priority=0, deadline=999.0) for n in range(15)))
    outputs = harness.give(submit("last", deadline=harness.now + left_s))
    assert outputs == ([] if is_queued else declined("last", DeclineReason.FULL))


@pytest.mark.parametrize(("answers", "is_known"), [(0, False), (2, False), (3, True)])
def test_a_bid_says_whether_it_knows_how_long_a_route_takes(
    answers: int, is_known: bool
) -> None:
    harness = HostHarness()
    teach(harness, EndKind.GOOD, answers)
    assert harness.bid().bids[0].is_known is is_known


STOPS = [  # time until the end and until a slot is free, is it safe, does it start
    ("time for the queue and for it", 2.5, 0.5, True, True),
    ("no time for the queue", 0.1, 0.05, True, False),
    ("a slot is freed too late", 2.5, 2.45, True, False),
    ("a straggler would be lost", 2.5, 0.5, False, False),
]


@pytest.mark.parametrize(
    ("ends_in_s", "freed_in_s", "is_safe", "starts"),
    [s[1:] for s in STOPS],
    ids=[s[0] for s in STOPS],
)
def test_a_stopping_daemon_starts_nothing_that_would_outlast_it(
    ends_in_s: float, freed_in_s: float, is_safe: bool, starts: bool
) -> None:
    harness = HostHarness(SERVER._replace(slots=1))
    teach(harness, EndKind.GOOD, 20)
    harness.give(submit("running", deadline=99.0))
    harness.give(submit("queued", deadline=99.0, safe=is_safe))
    outputs = harness.give(StartDraining(harness.now + ends_in_s))
    harness.now += freed_in_s
    outputs += harness.give(ended("running"))
    expected = (
        started("queued") if starts else declined("queued", DeclineReason.DRAINING)
    )
    assert [*map(type, outputs)] == [*map(type, expected)]


@pytest.mark.parametrize(
    ("overdue_s", "is_lost"), [(CALL_REPORT_S - 0.1, False), (CALL_REPORT_S, True)]
)
def test_a_call_whose_end_is_not_reported_frees_its_slot(
    overdue_s: float, is_lost: bool
) -> None:
    harness = HostHarness()
    harness.give(submit("1"), submit("2"), submit("3", deadline=60.0))
    harness.now = 10.0 + overdue_s
    outputs = harness.give(HostTick())
    lost = [each.attempt_id for each in outputs if isinstance(each, CallLost)]
    assert lost == (["1", "2"] if is_lost else [])
    assert (StartCall("3", SERVER) in outputs) == is_lost
    assert harness.give(ended("1")) == ([] if is_lost else [StartCall("3", SERVER)])


def repeat(name: str, *, deadline: float = 40.0) -> Submit:
    return submit(name, safe=True, deadline=deadline)._replace(is_repeat=True)


# Seven of ten repeats may come; what takes their place is declined.
SPENT = [repeat(f"r{number}") for number in range(7)]
FIRST = [submit(f"f{number}", deadline=40.0) for number in range(20)]
COUNTED: list[tuple[str, int, list[tuple[float, HostInput]], int]] = [
    ("repeats that wait", 2, [(0.0, each) for each in SPENT], 0),
    (
        "repeats that waited for longer than the window",
        2,
        [*((0.0, each) for each in SPENT), (15.0, ended("r0")), (15.0, ended("r1"))],
        0,
    ),
    (
        "repeats that ended within the window",
        2,
        [(0.0, SPENT[0]), (5.0, ended("r0"))],
        6,
    ),
    (
        "a repeat that was declined from the queue",
        2,
        [*((0.0, each) for each in SPENT), (1.0, Withdraw("r5"))],
        1,
    ),
    (
        "first attempts that reached the server",
        20,
        [(1.0, each) for each in FIRST]
        + [(2.0, ended(each.attempt_id)) for each in FIRST],
        9,
    ),
    (
        "first attempts that wait",
        2,
        [(1.0, each) for each in FIRST],
        7,
    ),
    (
        "first attempts that were declined from the queue",
        2,
        [(1.0, each) for each in FIRST]
        + [(2.0, Withdraw(each.attempt_id)) for each in FIRST],
        7,
    ),
    (
        "first attempts that did not reach the server",
        20,
        [(1.0, each) for each in FIRST]
        + [(2.0, ended(each.attempt_id, EndKind.UNREACHABLE)) for each in FIRST],
        7,
    ),
]


@pytest.mark.parametrize(
    ("slots", "steps", "allowed"),
    [case[1:] for case in COUNTED],
    ids=[case[0] for case in COUNTED],
)
def test_the_budget_counts_what_arrives(
    slots: int, steps: list[tuple[float, HostInput]], allowed: int
) -> None:
    harness = HostHarness(SERVER._replace(slots=slots))
    for harness.now, message in steps:
        harness.give(message)
    taken = 0
    for number in range(20):
        outputs = harness.give(repeat(f"more{number}"))
        taken += not any(isinstance(each, Declined) for each in outputs)
    assert taken == allowed


def call(name: str, repeat_share: float) -> Submit:
    return submit(name, safe=True)._replace(sender=Sender(False, repeat_share))


CALLS: list[tuple[str, list[Submit], int, float]] = [
    ("calls of first runs", [call(f"c{n}", 0.0) for n in range(60)], 60, 0.0),
    (
        "calls that may be of repeated runs",
        [call(f"c{n}", 0.25) for n in range(60)],
        34,
        8.5,
    ),
    ("calls of repeated runs", [call(f"c{n}", 1.0) for n in range(60)], 8, 8.0),
    ("repeats", [repeat(f"r{n}") for n in range(60)], 7, 7.0),
    (
        "calls of repeated runs after repeats",
        [repeat(f"r{n}") for n in range(60)] + [call(f"c{n}", 0.5) for n in range(60)],
        10,
        8.5,
    ),
]


@pytest.mark.parametrize(
    ("submits", "taken", "counted"),
    [case[1:] for case in CALLS],
    ids=[case[0] for case in CALLS],
)
def test_calls_of_repeated_runs_count_as_repeats(
    submits: list[Submit], taken: int, counted: float
) -> None:
    harness = HostHarness(SERVER._replace(slots=100))
    outputs = [harness.give(each) for each in submits]
    started_calls = [each for each in outputs if isinstance(each[0], StartCall)]
    assert len(started_calls) == taken
    (spent,) = harness.give(repeat("last"))
    assert isinstance(spent, Declined if counted > 6.0 else StartCall)
    if isinstance(spent, Declined):
        assert spent.budget is not None
        assert spent.budget.repeats == counted


@pytest.mark.parametrize(
    ("sender", "first"),
    [(Sender(is_client=True), 1), (Sender(), 0), (Sender(False, 0.2), 0)],
    ids=["client", "server", "repeated run"],
)
def test_only_requests_of_clients_raise_the_limit(sender: Sender, first: int) -> None:
    harness = HostHarness(SERVER._replace(slots=100))
    harness.give(submit("1")._replace(sender=sender), ended("1"))
    *_, spent = harness.give(*(repeat(f"r{number}") for number in range(20)))
    assert isinstance(spent, Declined)
    assert spent.budget is not None
    assert spent.budget.first == first


def test_the_host_reports_what_its_servers_run() -> None:
    harness = HostHarness()
    harness.give(submit("1", deadline=3.0), repeat("2", deadline=2.0))
    (*_, runs) = harness.runs
    assert [each.repeat_share for each in runs.runs] == [0.0, 1.0]
    assert runs.latest_deadline == 3.0
    harness.give(ended("2"))
    assert [len(each.runs) for each in harness.runs] == [1]


def test_without_admission_by_calls_a_bid_states_no_room_for_them() -> None:
    """Guard against other messages where the setting is off."""
    (bid,) = HostHarness().bid().bids
    assert (bid.admit_share, bid.call_room, bid.call_demand) == (1.0, 0.0, 0.0)


def test_the_dump_counts_who_waits() -> None:
    """Guard against counts that drift from the queue, on which all parts depend."""
    harness = HostHarness()
    harness.give(submit("1"), submit("2"), submit("3"))
    harness.give(submit("4")._replace(sender=Sender(is_call=True)))
    for name in ("5", "6"):
        harness.give(submit(name)._replace(organisation="a"))
    servers: Any = harness.host.dump()["servers"]
    waiting = {"organisations": {"a": 2}, "anonymous": 1, "calls": 1}
    assert servers["s"]["waiting"] == waiting
    harness.give(Withdraw("3"), Withdraw("5"), ended("1"))  # the call goes first
    servers = harness.host.dump()["servers"]
    waiting = {"organisations": {"a": 1}, "anonymous": 0, "calls": 0}
    assert servers["s"]["waiting"] == waiting
    harness.give(StartDraining(), HostTick(), ServerListed(DRAINING))
    servers = harness.host.dump()["servers"]
    waiting = {"organisations": {}, "anonymous": 0, "calls": 0}
    assert servers["s"]["waiting"] == waiting
