"""Search for orders of events in which a request runs twice or is misreported."""

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from ledger_simulation import REPLICAS
from ledger_simulation import LedgerSimulation
from ledger_simulation import WorkOutcome

from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.codec import encode_snapshot
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.models.request import Ran

DAEMONS = ("lahore-1", "karachi-1")  # one in each region
KEYS = ("booking-1", "booking-2")
POSITIONS = strategies.integers(0, 31)


class LedgerMachine(RuleBasedStateMachine):
    """Runs two daemons and three replicas over an adversarial network."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = LedgerSimulation(DAEMONS)
        self.sent: set[int] = set()  # tickets whose work was sent
        self.asked: set[tuple[str, str]] = set()
        self.lost: set[str] = set()  # keys whose outcome a fault may have hidden

    @rule(daemon=strategies.sampled_from(DAEMONS), key=strategies.sampled_from(KEYS))
    def ask(self, daemon: str, key: str) -> None:
        self.asked.add((daemon, key))
        self.simulation.ask(daemon, key)

    @precondition(lambda self: self.simulation.network)
    @rule(position=POSITIONS, keep=strategies.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        self.simulation.deliver(position % len(self.simulation.network), keep)

    @precondition(lambda self: self.simulation.network)
    @rule()
    def deliver_all(self) -> None:
        self.simulation.deliver_all()

    @precondition(lambda self: self.simulation.network)
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        self.simulation.network.pop(position % len(self.simulation.network))

    @precondition(lambda self: self.simulation.pending)
    @rule(count=strategies.integers(1, 4))
    def commit(self, count: int) -> None:
        self.simulation.commit(count)

    @precondition(lambda self: self.simulation.granted)
    @rule(position=POSITIONS, outcome=strategies.sampled_from(WorkOutcome))
    def finish_work(self, position: int, outcome: WorkOutcome) -> None:
        granted = self.simulation.granted[position % len(self.simulation.granted)]
        if outcome is not WorkOutcome.CRASH_BEFORE_SEND:
            self.sent.add(granted.ticket)
        if outcome not in (WorkOutcome.RAN, WorkOutcome.REFUSED):
            self._mark_lost(granted.daemon)
        self.simulation.finish_work(granted, outcome)

    @rule(daemon=strategies.sampled_from(DAEMONS))
    def crash(self, daemon: str) -> None:
        self._mark_lost(daemon)
        self.simulation.crash(daemon)

    @rule(
        replica=strategies.sampled_from(REPLICAS), committed=strategies.integers(0, 4)
    )
    def change_leader(self, replica: str, committed: int) -> None:
        self.simulation.change_leader(replica, committed)

    @rule(replica=strategies.sampled_from(REPLICAS))
    def restart_replica(self, replica: str) -> None:
        self.simulation.restart_replica(replica)

    @rule(has_majority=strategies.booleans())
    def set_majority(self, has_majority: bool) -> None:
        self.simulation.has_majority = has_majority

    @rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 20.0)))
    def tick(self, seconds: float) -> None:
        self.simulation.tick(seconds)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(runs <= 1 for runs in self.simulation.runs.values()), (
            self.simulation.runs
        )

    @invariant()
    def every_ticket_has_one_answer_at_most(self) -> None:
        assert all(len(answers) <= 1 for answers in self.simulation.answers.values())

    @invariant()
    def refusals_are_true(self) -> None:
        for ticket, answers in self.simulation.answers.items():
            for answer in answers:
                if isinstance(answer, ClaimDenied):
                    self._check_refusal(ticket, answer)

    def teardown(self) -> None:
        self.simulation.run_until_idle()
        for granted in tuple(self.simulation.granted):
            self.simulation.finish_work(granted, WorkOutcome.REFUSED)
        self.simulation.run_until_idle()
        for replica in REPLICAS:
            self.simulation.catch_up(replica)
        states = {
            encode_snapshot(service._state)
            for service in self.simulation.services.values()
        }
        assert len(states) == 1
        assert all(client.unsettled == 0 for client in self.simulation.daemons.values())
        for key in KEYS:
            self._check_retry(key)
        self.runs_at_most_once()

    def _mark_lost(self, daemon: str) -> None:
        self.lost |= {key for asked, key in self.asked if asked == daemon}

    def _check_refusal(self, ticket: int, answer: ClaimDenied) -> None:
        if answer.refusal.ran is Ran.NOT_RUN:
            assert ticket not in self.sent
        if answer.refusal.ran is Ran.RAN:
            assert self.simulation.runs[self.simulation.keys[ticket]] == 1

    def _check_retry(self, key: str) -> None:
        """Check a look-up and a caller's retry after all faults have ended."""
        simulation = self.simulation
        look_up = simulation.look_up(DAEMONS[1], key)
        simulation.run_until_idle()
        found = simulation.found[look_up].found
        assert found is not None
        assert found.state is not WorkState.RAN or simulation.runs[key] == 1
        ticket = simulation.ask(DAEMONS[0], key)
        simulation.run_until_idle()
        (answer,) = simulation.answers[ticket]
        is_free = found.state in (WorkState.FREE, WorkState.RELEASED)
        if key not in self.lost:
            assert is_free or found.state is WorkState.RAN
        assert isinstance(answer, ClaimGranted) == is_free
        assert not (is_free and simulation.runs[key])


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
