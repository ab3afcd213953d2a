"""Check that the floor holds while messages are lost, delayed, duplicated or cut."""

import hypothesis.strategies as st
from health_network import OWNERS
from health_network import HealthNetwork
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pimentobend_core._internal.health.limits import EXPIRY_S

DAEMONS = ("d1", "d2", "d3")
SERVERS = 6
FLOORS = (0.5, 0.67, 1.0)

daemons = st.sampled_from(DAEMONS)
owners = st.sampled_from(OWNERS)
servers = st.integers(1, SERVERS)
steps = st.integers(1, 12)


class FloorMachine(RuleBasedStateMachine):
    """Several observers and replicas with partitions, restarts and elections."""

    @initialize(floor=st.sampled_from(FLOORS), seed=st.integers(0, 99))
    def begin(self, floor: float, seed: int) -> None:
        self.network = HealthNetwork(DAEMONS, SERVERS, floor, seed)
        self.network.run(12.0)

    @rule(server=servers)
    def make_unhealthy(self, server: int) -> None:
        self.network.unhealthy.add(str(server))

    @rule(server=servers)
    def recover(self, server: int) -> None:
        self.network.unhealthy.discard(str(server))

    @rule(count=steps)
    def advance(self, count: int) -> None:
        self.network.run(count * 0.5)

    @rule(daemon=daemons, owner=owners)
    def cut_reports(self, daemon: str, owner: str) -> None:
        self.network.cut_paths.add((daemon, owner))

    @rule(daemon=daemons, owner=owners)
    def cut_grants(self, daemon: str, owner: str) -> None:
        self.network.cut_paths.add((owner, daemon))

    @rule(daemon=daemons, server=servers)
    def cut_server(self, daemon: str, server: int) -> None:
        self.network.cut_paths.add((daemon, str(server)))

    @rule()
    def heal(self) -> None:
        self.network.cut_paths.clear()

    @rule(loss=st.sampled_from((0.0, 0.3)), delay_s=st.sampled_from((0.0, 2.0, 8.0)))
    def disturb(self, loss: float, delay_s: float) -> None:
        self.network.loss = loss
        self.network.delay_s = delay_s

    @rule(daemon=daemons)
    def restart_daemon(self, daemon: str) -> None:
        self.network.restart_daemon(daemon)

    @rule(owner=owners)
    def restart_owner(self, owner: str) -> None:
        self.network.restart_owner(owner)

    @rule(owner=owners)
    def elect(self, owner: str) -> None:
        self.network.elect(owner)

    @rule()
    def depose_owner(self) -> None:
        self.network.confirmed = None

    @invariant()
    def the_floor_holds(self) -> None:
        if hasattr(self, "network"):
            assert self.network.violations == []

    def teardown(self) -> None:
        """Without an owner all leases expire, so no server may stay ejected."""
        if not hasattr(self, "network"):
            return
        self.network.confirmed = None
        self.network.run(EXPIRY_S + 4.0)
        assert self.network.violations == []
        assert self.network.ejected() == set()


FloorMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestFloor = FloorMachine.TestCase


class CommonCauseMachine(RuleBasedStateMachine):
    """All servers become unhealthy and recover together; none may be ejected."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        self.network = HealthNetwork(DAEMONS, SERVERS, 0.5, seed)
        self.network.run(12.0)

    @rule(is_unhealthy=st.booleans())
    def change(self, is_unhealthy: bool) -> None:
        names = {str(number) for number in range(1, SERVERS + 1)}
        self.network.unhealthy = names if is_unhealthy else set()

    @rule(count=steps)
    def advance(self, count: int) -> None:
        self.network.run(count * 0.5)

    @rule(loss=st.sampled_from((0.0, 0.3)), delay_s=st.sampled_from((0.0, 2.0)))
    def disturb(self, loss: float, delay_s: float) -> None:
        self.network.loss = loss
        self.network.delay_s = delay_s

    @rule(daemon=daemons)
    def restart_daemon(self, daemon: str) -> None:
        self.network.restart_daemon(daemon)

    @invariant()
    def nobody_is_ejected(self) -> None:
        if hasattr(self, "network"):
            assert self.network.ejected() == set()


CommonCauseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=20, deadline=None
)
TestCommonCause = CommonCauseMachine.TestCase


def test_the_network_can_eject() -> None:
    network = HealthNetwork(DAEMONS, SERVERS, 0.5, 1)
    network.run(12.0)
    network.unhealthy = {"2"}
    network.run(4.0)
    assert network.ejected() == {"2"}
    network.unhealthy = set()
    network.run(60.0)
    assert network.ejected() == set()
