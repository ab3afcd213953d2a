"""Check each crash between two steps of work that may not be repeated."""

import pytest
from ledger_world import REPLICAS
from ledger_world import Granted
from ledger_world import LedgerWorld
from ledger_world import Work
from ledger_world import is_request

from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.models.request import Ran

HERE, THERE = "lahore-1", "karachi-1"
KEY = "booking-1"
STEPS = (
    "asked",
    "claim-arrived",
    "claim-committed",
    "claim-answered",
    "work-sent",
    "work-answered",
    "settle-arrived",
    "settle-committed",
    "settle-answered",
)


def _advance(world: LedgerWorld, last: str) -> None:
    """Take one request through its steps up to the last one."""
    world.ask(HERE, KEY)
    for step in STEPS[1 : STEPS.index(last) + 1]:
        if step.endswith("committed"):
            world.commit(len(world.pending))
        elif step == "work-sent":
            world.runs[KEY] += 1
        elif step == "work-answered":
            world.runs[KEY] -= 1
            world.work(world.granted[0], Work.RAN)
        else:
            world.deliver(0)


def _retry(world: LedgerWorld) -> ClaimGranted | ClaimDenied:
    """Let the caller try again through the other region."""
    world.settle_down()
    ticket = world.ask(THERE, KEY)
    world.settle_down()
    (answer,) = world.answers[ticket]
    return answer


DAEMON_LOST = [
    ("asked", None, WorkState.CLAIMED),
    ("claim-arrived", Ran.UNKNOWN, WorkState.UNKNOWN),
    ("claim-committed", Ran.UNKNOWN, WorkState.UNKNOWN),
    ("claim-answered", Ran.UNKNOWN, WorkState.UNKNOWN),
    ("work-sent", Ran.UNKNOWN, WorkState.UNKNOWN),
    ("work-answered", Ran.UNKNOWN, WorkState.UNKNOWN),
    ("settle-arrived", Ran.RAN, WorkState.RAN),
    ("settle-committed", Ran.RAN, WorkState.RAN),
    ("settle-answered", Ran.RAN, WorkState.RAN),
]


@pytest.mark.parametrize(("step", "ran", "state"), DAEMON_LOST)
def test_daemon_lost(step: str, ran: Ran | None, state: WorkState) -> None:
    world = LedgerWorld((HERE, THERE))
    _advance(world, step)
    world.network = [one for one in world.network if not is_request(one, object)]
    world.crash(HERE)
    answer = _retry(world)
    refused = answer.refusal.ran if isinstance(answer, ClaimDenied) else None
    assert refused is ran
    look_up = world.look_up(THERE, KEY)
    world.settle_down()
    found = world.found[look_up].found
    assert found is not None
    # A claim that the retry was just granted is busy until its deadline.
    expected = WorkState.UNKNOWN if state is WorkState.CLAIMED else state
    assert found.state is expected


REPLICA_LOST = [
    *((step, kept, Ran.NOT_RUN) for step in STEPS[:2] for kept in (0, 1)),
    *((step, kept, Ran.RAN) for step in STEPS[2:] for kept in (0, 1)),
]


@pytest.mark.parametrize(("step", "kept", "ran"), REPLICA_LOST)
def test_two_leaders_lost(step: str, kept: int, ran: Ran) -> None:
    """A leader is lost, then its follower; the pending entry may survive."""
    world = LedgerWorld((HERE, THERE))
    _advance(world, step)
    for replica in REPLICAS[1:]:
        world.change_leader(replica, committed=kept)
    world.settle_down()
    if world.granted:
        world.work(world.granted[0], Work.RAN)
    answer = _retry(world)
    if ran is Ran.RAN:
        assert isinstance(answer, ClaimDenied)
        assert answer.refusal.ran is Ran.RAN
    else:
        assert world.runs[KEY] + isinstance(answer, ClaimGranted) == 1


def _ask_without_majority(world: LedgerWorld) -> None:
    world.has_majority = False
    world.ask(HERE, KEY)
    world.deliver(0)
    world.deliver(0)


def _ask_of_a_silent_leader(world: LedgerWorld) -> None:
    world.ask(HERE, KEY)
    world.network.clear()
    world.tick(1.0)
    world.tick(0.3)


def _ask_and_lose_the_answer(world: LedgerWorld) -> None:
    world.ask(HERE, KEY)
    world.deliver(0)
    world.commit()
    world.network.clear()
    world.tick(1.0)


def _ask_and_delay_the_claim(world: LedgerWorld) -> None:
    world.ask(HERE, KEY)
    world.tick(1.0)
    world.network.reverse()


def _ask_and_answer_past_the_deadline(world: LedgerWorld) -> None:
    world.ask(HERE, KEY, wait_s=0.2)
    world.deliver(0)
    world.commit()
    world.now += 0.2
    world.deliver(0)


@pytest.mark.parametrize(
    "fault",
    [
        _ask_and_answer_past_the_deadline,
        _ask_without_majority,
        _ask_of_a_silent_leader,
        _ask_and_lose_the_answer,
        _ask_and_delay_the_claim,
    ],
)
def test_not_run_is_true_and_the_key_is_free_again(fault: object) -> None:
    world = LedgerWorld((HERE, THERE))
    assert callable(fault)
    fault(world)
    (answer,) = world.answers[1]
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.NOT_RUN
    assert isinstance(_retry(world), ClaimGranted)
    assert [one.daemon for one in world.granted] == [THERE]


def test_without_majority_the_next_claims_are_refused_at_once() -> None:
    world = LedgerWorld((HERE, THERE))
    _ask_without_majority(world)
    world.network.clear()
    ticket = world.ask(HERE, "booking-2")
    assert isinstance(world.answers[ticket][0], ClaimDenied)
    assert not any(is_request(letter, ClaimWork) for letter in world.network)


def test_settlements_wait_for_a_majority() -> None:
    world = LedgerWorld((HERE, THERE))
    _advance(world, "claim-answered")
    world.has_majority = False
    granted: Granted = world.granted[0]
    world.work(granted, Work.RAN)
    for _ in range(20):
        while world.network:
            world.deliver(0)
        world.tick(5.0)
    assert world.daemons[HERE].unsettled == 1
    assert any(is_request(letter, SettleWork) for letter in world.network)
    answer = _retry(world)
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.RAN


def test_one_way_partition() -> None:
    """Replies are lost: the claim stands, and nobody may run the work."""
    world = LedgerWorld((HERE, THERE))
    world.ask(HERE, KEY)
    for _ in range(5):
        while world.network:
            world.deliver(0)
            world.commit(len(world.pending))
            world.network = [one for one in world.network if is_request(one, object)]
        world.tick(0.3)
    (answer,) = world.answers[1]
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.NOT_RUN
    assert isinstance(_retry(world), ClaimGranted)
