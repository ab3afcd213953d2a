"""Test the operators' limit on extra copies, on one host and on a whole fleet.

Without a limit of its own, copies at servers of which a few are slow use the retry
budget, which allows several times as many.
"""

import pytest
from played_fleet import Condition
from played_fleet import Load
from played_fleet import Outcome
from played_fleet import PlayedFleet

from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.extra_copies import CopyCount
from pimentobend_core._internal.traffic.extra_copies import CopyRefusal
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

WINDOW_S = 10.0
SLOTS = 4
NONE_FREE = CopyRefusal.NO_FREE_SLOT
SPENT = CopyRefusal.SHARE_SPENT

COUNTS = [  # share, first attempts, copies ended at these times, free slots, refusal
    ("no limit", None, 0, (9.0,) * 50, 0, None),
    ("a share of 0", 0.0, 1000, (), 3, SPENT),
    ("no first attempts", 0.05, 0, (), 3, SPENT),
    ("less than one copy", 0.05, 19, (), 3, SPENT),
    ("one copy", 0.05, 20, (), 3, None),
    ("spent", 0.05, 20, (9.0,), 3, SPENT),
    ("spent at the start of the window", 0.05, 20, (0.0,), 3, SPENT),
    ("before the window", 0.05, 20, (-0.1,), 3, None),
    ("no slot", 0.05, 1000, (), 0, NONE_FREE),
    ("no slot and spent", 0.05, 0, (), 0, NONE_FREE),
]


@pytest.mark.parametrize(
    ("share", "first", "ended", "free_slots", "refusal"),
    [c[1:] for c in COUNTS],
    ids=[c[0] for c in COUNTS],
)
def test_when_a_copy_is_refused(
    share: float | None,
    first: int,
    ended: tuple[float, ...],
    free_slots: int,
    refusal: CopyRefusal | None,
) -> None:
    count = CopyCount(share, WINDOW_S)
    for at in ended:
        count.reserve()
        count.note_ended(at)
    assert count.count(first, WINDOW_S).find_refusal(free_slots) is refusal


def test_a_copy_counts_from_its_submission_unless_it_is_declined() -> None:
    count = CopyCount(0.05, WINDOW_S)
    count.reserve()
    assert count.count(20, 1000.0).copies == 1
    count.release()
    assert count.count(20, 1000.0).copies == 0


def _submit(number: int, *, is_copy: bool) -> Submit:
    sender = Sender(is_client=True)
    attempt_id = f"{number}"
    return Submit(
        attempt_id,
        "s",
        "r",
        1,
        True,
        2.0,
        100.0,
        is_repeat=is_copy,
        sender=sender,
        is_copy=is_copy,
    )


def _make_host(share: float | None, first: int) -> ServerHost:
    """Return a host whose server has run some first attempts of clients."""
    host = ServerHost(7, BudgetTerms(0.2, WINDOW_S, 50.0, share))
    server = Server("s", "p", "h", 80, SLOTS, "a", "r", ServerState.READY, 1)
    host.handle(ServerListed(server), -WINDOW_S)
    host.handle(ServiceSizes((("p", 1),)), -WINDOW_S)
    for number in range(first):
        host.handle(_submit(number, is_copy=False), 0.0)
        host.handle(CallEnded(str(number), EndKind.GOOD), 0.0)
    return host


COPIES = [  # share, first attempts, running attempts, outcome of the copy
    ("no limit", None, 0, 0, StartCall),
    ("no limit, no free slot", None, 0, SLOTS, None),  # it waits, as before
    ("within the limit", 0.05, 20, 0, StartCall),
    ("beyond the limit", 0.05, 19, 0, DeclineReason.EXTRA_COPIES),
    ("no free slot", 0.05, 100, SLOTS, DeclineReason.NO_FREE_SLOT),
    ("a share of 0", 0.0, 100, 0, DeclineReason.EXTRA_COPIES),
]


@pytest.mark.parametrize(
    ("share", "first", "running", "expected"),
    [c[1:] for c in COPIES],
    ids=[c[0] for c in COPIES],
)
def test_a_host_takes_what_its_bid_says(
    share: float | None,
    first: int,
    running: int,
    expected: type[StartCall] | DeclineReason | None,
) -> None:
    host = _make_host(share, first)
    for number in range(running):
        host.handle(_submit(1000 + number, is_copy=False), 1.0)
    (bids,) = host.handle(Ask(1, "p", "r"), 1.0)
    assert isinstance(bids, Bids)
    outputs = host.handle(_submit(2000, is_copy=True), 1.0)
    assert _outcome(outputs) == expected
    assert bids.bids[0].takes_copies == (not isinstance(expected, DeclineReason))
    (declined,) = [each for each in outputs if isinstance(each, Declined)] or [None]
    assert declined is None or declined.budget is not None, "the log line needs it"


def _outcome(outputs: tuple[HostOutput, ...]) -> type[StartCall] | DeclineReason | None:
    for output in outputs:
        if isinstance(output, StartCall):
            return StartCall
        if isinstance(output, Declined):
            return output.reason
    return None


def a_few_slow(server: int, now: float) -> Condition:
    return Condition.SLOW if server % 4 == 1 else Condition.SOUND


SLOW_SERVERS = Load(
    zones=2,
    servers_per_zone=4,
    slots=4,
    per_s=80.0,
    work_s=0.15,
    target_s=2.0,
    deadline_s=6.0,
    length_s=20.0,
    is_repeatable=True,
    condition=a_few_slow,
)
LOADS = {
    "slow servers": SLOW_SERVERS,
    "slow requests": SLOW_SERVERS._replace(
        condition=lambda server, now: Condition.SOUND, straggler_share=0.03
    ),
}
# The highest one never binds.
SHARES = [0.0, 0.02, 0.05, 1.0]


def _play(load: Load, share: float) -> Outcome:
    return PlayedFleet(load._replace(copies_share=share), seed=1).play()


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_a_higher_limit_allows_more_copies_and_fewer_slow_answers(load: Load) -> None:
    outcomes = [_play(load, share) for share in SHARES]
    for share, outcome in zip(SHARES, outcomes, strict=True):
        assert outcome.served == 1.0
        assert outcome.copy_share <= share
    copies = [outcome.copy_share for outcome in outcomes]
    assert copies == sorted(copies)
    assert copies[0] == 0.0
    assert copies[1] > 0.005
    p99 = [outcome.p99_s for outcome in outcomes]
    assert p99[0] > p99[1] > p99[2]
    # At the slow servers, a copy that waits for their own 90th percentile is too late.
    assert p99[2] < 0.6 * p99[0]
    assert p99[3] < 1.05 * p99[2], "a higher limit changes little"
    assert max(o.p50_s for o in outcomes) < 1.1 * min(o.p50_s for o in outcomes)
