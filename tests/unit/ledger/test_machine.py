"""Search for orders of events in which work runs twice or is misreported."""

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from ledger_world import REPLICAS
from ledger_world import LedgerWorld
from ledger_world import Work

from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.codec import encode_snapshot
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.models.request import Ran

DAEMONS = ("lahore-1", "karachi-1")  # one in each region
KEYS = ("booking-1", "booking-2")
POSITIONS = strategies.integers(0, 31)


class LedgerMachine(RuleBasedStateMachine):
    """Drive two daemons and three replicas through an adversarial network."""

    def __init__(self) -> None:
        super().__init__()
        self.world = LedgerWorld(DAEMONS)
        self.sent: set[int] = set()  # tickets whose work was sent
        self.asked: set[tuple[str, str]] = set()
        self.lost: set[str] = set()  # keys whose outcome a fault may have hidden

    @rule(daemon=strategies.sampled_from(DAEMONS), key=strategies.sampled_from(KEYS))
    def ask(self, daemon: str, key: str) -> None:
        self.asked.add((daemon, key))
        self.world.ask(daemon, key)

    @precondition(lambda self: self.world.network)
    @rule(position=POSITIONS, keep=strategies.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        self.world.deliver(position % len(self.world.network), keep)

    @precondition(lambda self: self.world.network)
    @rule()
    def flow(self) -> None:
        self.world.flow()

    @precondition(lambda self: self.world.network)
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        self.world.network.pop(position % len(self.world.network))

    @precondition(lambda self: self.world.pending)
    @rule(count=strategies.integers(1, 4))
    def commit(self, count: int) -> None:
        self.world.commit(count)

    @precondition(lambda self: self.world.granted)
    @rule(position=POSITIONS, work=strategies.sampled_from(Work))
    def work(self, position: int, work: Work) -> None:
        granted = self.world.granted[position % len(self.world.granted)]
        if work is not Work.CRASH_BEFORE_SEND:
            self.sent.add(granted.ticket)
        if work not in (Work.RAN, Work.REFUSED):
            self._lose(granted.daemon)
        self.world.work(granted, work)

    @rule(daemon=strategies.sampled_from(DAEMONS))
    def crash(self, daemon: str) -> None:
        self._lose(daemon)
        self.world.crash(daemon)

    @rule(
        replica=strategies.sampled_from(REPLICAS), committed=strategies.integers(0, 4)
    )
    def change_leader(self, replica: str, committed: int) -> None:
        self.world.change_leader(replica, committed)

    @rule(replica=strategies.sampled_from(REPLICAS))
    def restart_replica(self, replica: str) -> None:
        self.world.restart_replica(replica)

    @rule(has_majority=strategies.booleans())
    def set_majority(self, has_majority: bool) -> None:
        self.world.has_majority = has_majority

    @rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 20.0)))
    def tick(self, seconds: float) -> None:
        self.world.tick(seconds)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(runs <= 1 for runs in self.world.runs.values()), self.world.runs

    @invariant()
    def every_ticket_has_one_answer_at_most(self) -> None:
        assert all(len(answers) <= 1 for answers in self.world.answers.values())

    @invariant()
    def refusals_are_true(self) -> None:
        for ticket, answers in self.world.answers.items():
            for answer in answers:
                if isinstance(answer, ClaimDenied):
                    self._check_refusal(ticket, answer)

    def teardown(self) -> None:
        self.world.settle_down()
        for granted in tuple(self.world.granted):
            self.world.work(granted, Work.REFUSED)
        self.world.settle_down()
        for replica in REPLICAS:
            self.world.catch_up(replica)
        states = {
            encode_snapshot(service._state) for service in self.world.services.values()
        }
        assert len(states) == 1
        assert all(client.unsettled == 0 for client in self.world.daemons.values())
        for key in KEYS:
            self._check_retry(key)
        self.runs_at_most_once()

    def _lose(self, daemon: str) -> None:
        self.lost |= {key for asked, key in self.asked if asked == daemon}

    def _check_refusal(self, ticket: int, answer: ClaimDenied) -> None:
        if answer.refusal.ran is Ran.NOT_RUN:
            assert ticket not in self.sent
        if answer.refusal.ran is Ran.RAN:
            assert self.world.runs[self.world.keys[ticket]] == 1

    def _check_retry(self, key: str) -> None:
        """Check a caller's retry and a look-up once every fault has ended."""
        world = self.world
        look_up = world.look_up(DAEMONS[1], key)
        world.settle_down()
        found = world.found[look_up].found
        assert found is not None
        assert found.state is not WorkState.RAN or world.runs[key] == 1
        ticket = world.ask(DAEMONS[0], key)
        world.settle_down()
        (answer,) = world.answers[ticket]
        is_free = found.state in (WorkState.FREE, WorkState.RELEASED)
        if key not in self.lost:
            assert is_free or found.state is WorkState.RAN
        assert isinstance(answer, ClaimGranted) == is_free
        assert not (is_free and world.runs[key])


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
