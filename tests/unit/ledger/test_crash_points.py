"""Check a crash between any two steps of a request that must not run twice."""

import pytest
from ledger_simulation import REPLICAS
from ledger_simulation import Granted
from ledger_simulation import LedgerSimulation
from ledger_simulation import WorkOutcome
from ledger_simulation import is_request

from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.models.request import Ran

LOCAL, REMOTE = "lahore-1", "karachi-1"
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


def _advance(simulation: LedgerSimulation, last: str) -> None:
    """Run one request up to and including the step ``last``."""
    simulation.ask(LOCAL, KEY)
    for step in STEPS[1 : STEPS.index(last) + 1]:
        if step.endswith("committed"):
            simulation.commit(len(simulation.pending))
        elif step == "work-sent":
            simulation.runs[KEY] += 1
        elif step == "work-answered":
            simulation.runs[KEY] -= 1
            simulation.finish_work(simulation.granted[0], WorkOutcome.RAN)
        else:
            simulation.deliver(0)


def _retry(simulation: LedgerSimulation) -> ClaimGranted | ClaimDenied:
    """Let the caller retry through the other region."""
    simulation.run_until_idle()
    ticket = simulation.ask(REMOTE, KEY)
    simulation.run_until_idle()
    (answer,) = simulation.answers[ticket]
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
    simulation = LedgerSimulation((LOCAL, REMOTE))
    _advance(simulation, step)
    simulation.network = [
        one for one in simulation.network if not is_request(one, object)
    ]
    simulation.crash(LOCAL)
    answer = _retry(simulation)
    refused = answer.refusal.ran if isinstance(answer, ClaimDenied) else None
    assert refused is ran
    look_up = simulation.look_up(REMOTE, KEY)
    simulation.run_until_idle()
    found = simulation.found[look_up].found
    assert found is not None
    # The retry was granted: its claim is in progress until its deadline.
    expected = WorkState.UNKNOWN if state is WorkState.CLAIMED else state
    assert found.state is expected


REPLICA_LOST = [
    *((step, kept, Ran.NOT_RUN) for step in STEPS[:2] for kept in (0, 1)),
    *((step, kept, Ran.RAN) for step in STEPS[2:] for kept in (0, 1)),
]


@pytest.mark.parametrize(("step", "kept", "ran"), REPLICA_LOST)
def test_two_leaders_lost(step: str, kept: int, ran: Ran) -> None:
    """Two leaders are lost in turn; ``kept`` pending entries are committed."""
    simulation = LedgerSimulation((LOCAL, REMOTE))
    _advance(simulation, step)
    for replica in REPLICAS[1:]:
        simulation.change_leader(replica, committed=kept)
    simulation.run_until_idle()
    if simulation.granted:
        simulation.finish_work(simulation.granted[0], WorkOutcome.RAN)
    answer = _retry(simulation)
    if ran is Ran.RAN:
        assert isinstance(answer, ClaimDenied)
        assert answer.refusal.ran is Ran.RAN
    else:
        assert simulation.runs[KEY] + isinstance(answer, ClaimGranted) == 1


def _ask_without_majority(simulation: LedgerSimulation) -> None:
    simulation.has_majority = False
    simulation.ask(LOCAL, KEY)
    simulation.deliver(0)
    simulation.deliver(0)


def _ask_unresponsive_leader(simulation: LedgerSimulation) -> None:
    simulation.ask(LOCAL, KEY)
    simulation.network.clear()
    simulation.tick(1.0)
    simulation.tick(0.3)


def _ask_and_lose_the_answer(simulation: LedgerSimulation) -> None:
    simulation.ask(LOCAL, KEY)
    simulation.deliver(0)
    simulation.commit()
    simulation.network.clear()
    simulation.tick(1.0)


def _ask_and_delay_the_claim(simulation: LedgerSimulation) -> None:
    simulation.ask(LOCAL, KEY)
    simulation.tick(1.0)
    simulation.network.reverse()


def _ask_and_answer_past_the_deadline(simulation: LedgerSimulation) -> None:
    simulation.ask(LOCAL, KEY, wait_s=0.2)
    simulation.deliver(0)
    simulation.commit()
    simulation.now += 0.2
    simulation.deliver(0)


@pytest.mark.parametrize(
    "fault",
    [
        _ask_and_answer_past_the_deadline,
        _ask_without_majority,
        _ask_unresponsive_leader,
        _ask_and_lose_the_answer,
        _ask_and_delay_the_claim,
    ],
)
def test_denied_claim_did_not_run_and_frees_its_key(fault: object) -> None:
    simulation = LedgerSimulation((LOCAL, REMOTE))
    assert callable(fault)
    fault(simulation)
    (answer,) = simulation.answers[1]
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.NOT_RUN
    assert isinstance(_retry(simulation), ClaimGranted)
    assert [one.daemon for one in simulation.granted] == [REMOTE]


def test_without_majority_the_next_claims_are_refused_at_once() -> None:
    simulation = LedgerSimulation((LOCAL, REMOTE))
    _ask_without_majority(simulation)
    simulation.network.clear()
    ticket = simulation.ask(LOCAL, "booking-2")
    assert isinstance(simulation.answers[ticket][0], ClaimDenied)
    assert not any(is_request(message, ClaimWork) for message in simulation.network)


def test_settlements_wait_for_a_majority() -> None:
    simulation = LedgerSimulation((LOCAL, REMOTE))
    _advance(simulation, "claim-answered")
    simulation.has_majority = False
    granted: Granted = simulation.granted[0]
    simulation.finish_work(granted, WorkOutcome.RAN)
    for _ in range(20):
        while simulation.network:
            simulation.deliver(0)
        simulation.tick(5.0)
    assert simulation.daemons[LOCAL].unsettled == 1
    assert any(is_request(message, SettleWork) for message in simulation.network)
    answer = _retry(simulation)
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.RAN


def test_one_way_partition() -> None:
    """Replies are lost: the claim is denied, and a retry is granted."""
    simulation = LedgerSimulation((LOCAL, REMOTE))
    simulation.ask(LOCAL, KEY)
    for _ in range(5):
        while simulation.network:
            simulation.deliver(0)
            simulation.commit(len(simulation.pending))
            simulation.network = [
                one for one in simulation.network if is_request(one, object)
            ]
        simulation.tick(0.3)
    (answer,) = simulation.answers[1]
    assert isinstance(answer, ClaimDenied)
    assert answer.refusal.ran is Ran.NOT_RUN
    assert isinstance(_retry(simulation), ClaimGranted)
