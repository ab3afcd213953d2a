"""Search for keys that are admitted too late, and for daemons refused needlessly."""

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from proof_fleet import CONTROL
from proof_fleet import DAEMONS
from proof_fleet import ProofFleet

from pimentobend_core._internal.configuration.proof_asker import RETURN_S

NODES = st.sampled_from(CONTROL + DAEMONS)
SECONDS = st.sampled_from([0.05, 0.25, 0.7, 2.0, 4.4, 60.0])
# A daemon that is in touch again asks three control instances within this time.
REGAIN_S = 2.0
ELECTION_S = 1.5


class ProofMachine(RuleBasedStateMachine):
    """Runs proofs under freezes, cuts, restarts, elections and late messages."""

    @initialize(seconds=st.sampled_from([0.0, 0.3, 0.6, REGAIN_S]))
    def start(self, seconds: float) -> None:
        self.fleet = ProofFleet()
        self.fleet.heal()
        self.fleet.run(seconds)

    @rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        """Let time pass without a tick, as in a suspended machine."""
        self.fleet.now += seconds

    @rule()
    def tick(self) -> None:
        self.fleet.tick()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.5]))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @precondition(lambda self: self.fleet.in_transit)
    @rule(data=st.data(), is_kept=st.booleans())
    def deliver(self, data: st.DataObject, is_kept: bool) -> None:
        last = len(self.fleet.in_transit) - 1
        packet = self.fleet.in_transit.pop(data.draw(st.integers(0, last)))
        self.fleet.deliver(packet)
        if is_kept:
            self.fleet.in_transit.append(packet)

    @precondition(lambda self: self.fleet.in_transit)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        last = len(self.fleet.in_transit) - 1
        del self.fleet.in_transit[data.draw(st.integers(0, last))]

    @precondition(lambda self: self.fleet.reads)
    @rule(data=st.data())
    def confirm(self, data: st.DataObject) -> None:
        self.fleet.confirm(data.draw(st.integers(0, len(self.fleet.reads) - 1)))

    @precondition(lambda self: self.fleet.leader)
    @rule(
        stale=st.sets(st.sampled_from(DAEMONS), min_size=1),
        frozen=st.sets(st.sampled_from(DAEMONS)),
        is_leader_apart=st.booleans(),
        before_s=st.sampled_from([0.02, 0.06, 0.6]),
        after_s=st.sampled_from([0.1, 2.0, 5.5]),
    )
    def remove_a_key(
        self,
        stale: set[str],
        frozen: set[str],
        is_leader_apart: bool,
        before_s: float,
        after_s: float,
    ) -> None:
        """Accept a version that stale daemons do not get, while others are frozen."""
        fleet = self.fleet
        fleet.run(before_s)
        fleet.stale, fleet.frozen = stale, fleet.frozen | frozen
        if is_leader_apart:
            fleet.cut_off_or_reconnect(fleet.leader or "", CONTROL)
        fleet.accept()
        fleet.run(after_s)
        fleet.frozen -= frozen

    @rule(daemon=st.sampled_from(DAEMONS), data=st.data())
    def spread(self, daemon: str, data: st.DataObject) -> None:
        accepted = data.draw(st.sampled_from(self.fleet.accepted))
        self.fleet.daemons[daemon].apply(accepted.version)

    @rule(name=st.sampled_from((None, *CONTROL)))
    def elect(self, name: str | None) -> None:
        self.fleet.elect(name)

    @rule(name=st.sampled_from(CONTROL))
    def learn_leader(self, name: str) -> None:
        self.fleet.learn_leader(name)

    @rule(node=NODES, data=st.data())
    def restart(self, node: str, data: st.DataObject) -> None:
        accepted = data.draw(st.sampled_from(self.fleet.accepted))
        self.fleet.restart(node, accepted.version)

    @rule(node=NODES)
    def freeze_or_resume(self, node: str) -> None:
        self.fleet.frozen ^= {node}

    @rule(node=NODES, others=st.sampled_from([CONTROL, CONTROL[:1], CONTROL[1:]]))
    def cut_off_or_reconnect(self, node: str, others: tuple[str, ...]) -> None:
        self.fleet.cut_off_or_reconnect(node, others)

    @invariant()
    def no_key_is_admitted_too_late(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()

    def teardown(self) -> None:
        """End all faults: the daemons must be proven again."""
        if hasattr(self, "fleet"):
            self.fleet.heal()
            self.fleet.run(REGAIN_S)
            self.fleet.run(REGAIN_S, must_be_proven=True)


ProofMachine.TestCase.settings = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestProofMachine = ProofMachine.TestCase


@pytest.mark.parametrize("loss", [0.0, 0.03])
@pytest.mark.parametrize("slow", [None, *CONTROL])
@pytest.mark.parametrize(
    ("stopped", "apart"),
    [(None, ()), *((each, ()) for each in CONTROL), (None, CONTROL[:2])],
    ids=["-", *(f"{each}-stopped" for each in CONTROL), "c2-without-the-leader"],
)
def test_daemons_in_touch_with_a_majority_are_not_refused(
    stopped: str | None, apart: tuple[str, ...], slow: str | None, loss: float
) -> None:
    """Guards against proofs that end while a majority can renew them."""
    fleet = ProofFleet()
    fleet.heal()
    fleet.run(REGAIN_S)
    fleet.run(RETURN_S, must_be_proven=True)  # then each asks its nearest
    fleet.slow, fleet.loss = slow, loss
    if apart:
        fleet.cut_off_or_reconnect(apart[0], apart[1:])
    fleet.run(5.0, must_be_proven=True)
    if stopped is not None:
        fleet.frozen.add(stopped)
    if stopped == fleet.leader:
        fleet.elect(None)
        fleet.run(ELECTION_S, must_be_proven=True)
        fleet.elect(CONTROL[1])
        for name in CONTROL[1:]:
            fleet.learn_leader(name)
    for _ in range(10):
        fleet.accept()
        fleet.run(3.0, must_be_proven=True)
