"""Check the limits' own sum while processes and messages fail in any order.

The number of requests that are sent and admitted in any window, over all daemons, must
not exceed what the requirement allows.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from limit_fleet import LimitFleet
from limit_fleet import allowed
from limit_fleet import count_most

from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.terms import MAX_VALID_S
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import LimitSettings

DAEMONS = 5
CONTROLS = 3
# With each setting, the largest numbers that may be reached are different ones: with
# little tolerance, tokens are valid for longer than half of it covers.
SETTINGS = (LimitSettings(), LimitSettings(slack=20), LimitSettings(2.0, 0.02, 0.0))
LIMITS = (Limit(20, 10), Limit(100, 0), Limit(0.8, 0), Limit(3, 40), Limit(50, 50))

processes = st.integers(0, DAEMONS + CONTROLS - 1)
controls = st.integers(0, CONTROLS - 1)
shares = st.sampled_from((0.0, 0.0, 0.1, 0.4))
seconds = st.sampled_from((0.05, 0.2, 0.65, 1.0, 3.0))
long_s = st.sampled_from((0.3, 1.0, 5.0, 7.0))
short_s = st.sampled_from((0.0, 0.03, 0.2, 0.7, 1.3))


class LimitMachine(RuleBasedStateMachine):
    """A fleet whose one organisation sends as much as it can."""

    @initialize(
        terms=st.sampled_from(SETTINGS),
        limit=st.sampled_from(LIMITS),
        seed=st.integers(0, 1000),
        idle_s=st.sampled_from((0.0, 1.0, 30.0)),
    )
    def begin(
        self, terms: LimitSettings, limit: Limit, seed: int, idle_s: float
    ) -> None:
        self.limit = self.highest = limit
        self.terms = terms
        self.lowered_at = 0.0
        self.fleet = LimitFleet({"o": limit}, terms, DAEMONS, CONTROLS, 2, seed)
        self.names = [*self.fleet.daemons, *self.fleet.controls]
        self.fleet.run(idle_s)

    @rule(loss=shares, repeat=shares, late_s=short_s)
    def change_network(self, loss: float, repeat: float, late_s: float) -> None:
        self.fleet.loss, self.fleet.repeat = loss, repeat
        self.fleet.late_s = late_s

    @rule(seconds=seconds)
    def flood(self, seconds: float) -> None:
        """Send a burst, then more than the limit."""
        fleet, (rate, burst) = self.fleet, self.highest
        count = int(2 * burst + rate * seconds) + 10
        for number in range(count):
            at = fleet.now + max(0.0, 2 * number / count - 1) * seconds
            fleet.schedule(at, fleet.random.choice(fleet.daemons), "o")
        fleet.run(seconds)

    @rule(seconds=seconds)
    def rest(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(number=processes, seconds=long_s)
    def freeze(self, number: int, seconds: float) -> None:
        self.fleet.freeze(self.names[number], seconds)

    @rule(number=processes, seen_s=seconds)
    def restart(self, number: int, seen_s: float) -> None:
        """Restart a process; another one is elected if it was the leader."""
        name = self.names[number]
        self.fleet.restart(name)
        if name == self.fleet.leader:
            self.fleet.elect(self.fleet.random.choice(self.fleet.controls), seen_s)

    @rule(number=controls, seen_s=short_s, known_s=long_s)
    def elect(self, number: int, seen_s: float, known_s: float) -> None:
        self.fleet.elect(f"c{number}", seen_s, known_s)

    @rule(share=st.sampled_from((0.2, 0.5)), longest_s=short_s)
    def lower_limit(self, share: float, longest_s: float) -> None:
        """Put a lower limit in force everywhere, and check the higher one before."""
        fleet = self.fleet
        rate, burst = self.limit
        self.limit = Limit(rate * share, burst * share)
        delays = {each: fleet.random.random() * longest_s for each in fleet.processes}
        fleet.change_limits({"o": self.limit}, delays)
        fleet.run(longest_s)
        self.lowered_at = fleet.now

    @invariant()
    def no_token_is_used_twice_or_late(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.faults == []

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.fleet.run(2.0)
        assert self.fleet.faults == []
        granted = [e for e in self.fleet.decided if e.verdict is Verdict.GRANTED]
        times = [each.at for each in granted]
        window_s = self.terms.window_s
        assert count_most(times, window_s) <= allowed(self.highest, self.terms)
        # Tokens that were granted before all processes had the lower limit are valid
        # for as long.
        late = [each for each in times if each > self.lowered_at + MAX_VALID_S]
        assert count_most(late, window_s) <= allowed(self.limit, self.terms)


class LoadedMachine(LimitMachine):
    """The same, with faults in the middle of a flood, which chance seldom gives."""

    @rule(
        number=controls,
        before_s=st.sampled_from((0.1, 0.2, 0.45)),
        seen_s=st.sampled_from((0.0, 0.2, 0.6)),
        known_s=long_s,
        idle_s=st.sampled_from((0.0, 0.5, 6.0)),
    )
    def elect_under_load(
        self, number: int, before_s: float, seen_s: float, known_s: float, idle_s: float
    ) -> None:
        """Change the leader just after a burst, and go on with the flood."""
        self.fleet.run(idle_s)
        self.flood(before_s)
        self.fleet.elect(f"c{number}", seen_s, known_s)
        self.flood(1.0)

    @rule(number=processes, seconds=st.sampled_from((0.3, 0.5, 0.7)))
    def freeze_under_load(self, number: int, seconds: float) -> None:
        """Stop a process that holds tokens or questions, and resume it in the flood."""
        self.flood(0.2)
        self.fleet.freeze(self.names[number], seconds)
        self.flood(1.0)


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(
    max_examples=400, stateful_step_count=25, deadline=None, derandomize=True
)

TestLimitsUnderLoad = LoadedMachine.TestCase
TestLimitsUnderLoad.settings = settings(
    max_examples=100, stateful_step_count=10, deadline=None, derandomize=True
)
