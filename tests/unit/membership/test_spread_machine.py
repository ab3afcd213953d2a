"""Search for faults after which instances keep different rows or rows regress."""

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_bench._internal.membership.fleet import FleetShape
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ViewTick
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_core._internal.membership.rows import read_rows
from pimentobend_core._internal.membership.spread import relay
from pimentobend_core._internal.membership.spread.client import SpreadClient
from pimentobend_core._internal.membership.spread.messages import START
from pimentobend_core._internal.membership.spread.messages import Position
from pimentobend_core._internal.membership.view import MembershipView
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

SHAPE = FleetShape(
    regions=2, data_centres=2, replicas=3, relays_per_data_centre=2, daemons=4
)
CONVERGE_S = 180.0
DAEMONS = strategies.sampled_from([f"daemon-{n:04}" for n in range(SHAPE.daemons)])
REPLICAS = strategies.sampled_from([f"replica-{n}" for n in range(SHAPE.replicas)])
NAMES = sorted(Fleet(SHAPE, seed=0).places)
ANY = strategies.sampled_from(NAMES)
STATES = (ServerState.READY, ServerState.DRAINING)


class SpreadMachine(RuleBasedStateMachine):
    """Run a small fleet through partitions, message loss and root changes."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(SHAPE, seed=1)
        self.fleet.lead("replica-0")
        self.events: dict[str, ServerEvent] = {}
        self.sequence = 0
        self.positions: dict[tuple[str, int], Position] = {}

    @rule(daemon=DAEMONS, state=strategies.sampled_from(STATES))
    def announce(self, daemon: str, state: ServerState) -> None:
        self._publish(daemon, Presence.LIVE, state)

    @rule(daemon=DAEMONS)
    def withdraw(self, daemon: str) -> None:
        if daemon in self.events:
            self._publish(daemon, Presence.WITHDRAWN, ServerState.DRAINING)

    @rule(left=ANY, right=ANY)
    def cut_one_way(self, left: str, right: str) -> None:
        self.fleet.cut_off([left], [right])

    @rule(name=ANY, hears=strategies.booleans())
    def cut_off_one(self, name: str, hears: bool) -> None:
        others = [other for other in NAMES if other != name]
        self.fleet.cut_off(*(([name], others) if hears else (others, [name])))

    @rule(both=strategies.booleans())
    def cut_regions(self, both: bool) -> None:
        regions = [
            [name for name in NAMES if self.fleet.places[name].region == region]
            for region in ("r0", "r1")
        ]
        self.fleet.cut_off(*regions)
        if both:
            self.fleet.cut_off(*reversed(regions))

    @rule()
    def mend(self) -> None:
        self.fleet.mend()

    @rule(name=ANY)
    def stop(self, name: str) -> None:
        self.fleet.stop(name)

    @rule(name=ANY)
    def restart(self, name: str) -> None:
        self.fleet.start(name)
        if name in self.events:
            event = self.events[name]
            self._publish(name, event.presence, event.server.state)

    @rule(name=REPLICAS, tell_former=strategies.booleans())
    def lead(self, name: str, tell_former: bool) -> None:
        former = None if tell_former else self.fleet.leader
        if name in self.fleet.nodes and name != former:
            self.fleet.lead(name, unaware=former)

    @rule(share=strategies.sampled_from((0.0, 0.1, 0.5)))
    def lose_and_reorder(self, share: float) -> None:
        self.fleet.drop_share = share
        self.fleet.duplicate_share = share
        self.fleet.jitter_s = share

    @rule(seconds=strategies.sampled_from((0.1, 0.5, 2.0, 12.0)))
    def run_on(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @invariant()
    def rows_never_go_back(self) -> None:
        assert self.fleet.went_back == []

    @invariant()
    def positions_never_go_back(self) -> None:
        for name, node in self.fleet.nodes.items():
            is_client = isinstance(node, SpreadClient)
            position = node.store.position if is_client else node.position
            life = (name, self.fleet.epoch(name))
            assert position >= self.positions.get(life, START)
            self.positions[life] = position

    def teardown(self) -> None:
        self.fleet.mend()
        for name in NAMES:
            if name not in self.fleet.nodes:
                self.restart(name)
        self.fleet.lead("replica-1")
        assert self.fleet.run_until(self._has_converged, CONVERGE_S) is not None
        self.rows_never_go_back()
        for name in NAMES:
            self._check_view(name)

    def _publish(self, daemon: str, presence: Presence, state: ServerState) -> None:
        epoch = self.fleet.epoch(daemon)
        self.sequence += 1
        server = Server(
            f"server-{daemon}", "rota", "127.0.0.1", 1, 3, "dc0", "r0", state, 1
        )
        rank = Rank(epoch, self.sequence)
        event = ServerEvent(daemon, rank, presence, server)
        self.events[daemon] = event
        self.fleet.publish(daemon, (create_server_row(event),))

    def _has_converged(self) -> bool:
        rows = [create_server_row(event) for event in self.events.values()]
        return all(
            self.fleet.arrived[name].get(row.row_id) == row
            for name in NAMES
            for row in rows
        ) and (len({self._digest(name) for name in NAMES}) == 1)

    def _digest(self, name: str) -> int:
        node = self.fleet.nodes[name]
        return node.store.digest if isinstance(node, SpreadClient) else node.digest

    def _check_view(self, name: str) -> None:
        view = MembershipView()
        faults: list[CodecError] = []
        rows = tuple(self.fleet.arrived[name].values())
        for message in read_rows(rows, faults.append):
            view.handle(message, self.fleet.now)
        assert faults == []
        view.handle(ViewTick(), self.fleet.now)
        listed = {(s.server_id, s.state) for s in view.servers("rota")}
        assert listed == {
            (event.server.server_id, event.server.state)
            for event in self.events.values()
            if event.presence is Presence.LIVE
        }


class PacedSpreadMachine(SpreadMachine):
    """Limit each flush to one or two rows."""

    def __init__(self) -> None:
        self.flush_bytes = relay.FLUSH_BYTES
        relay.FLUSH_BYTES = 2 * relay.ROW_BYTES
        super().__init__()

    def teardown(self) -> None:
        try:
            super().teardown()
        finally:
            relay.FLUSH_BYTES = self.flush_bytes


TestSpread = SpreadMachine.TestCase
TestPacedSpread = PacedSpreadMachine.TestCase
TestSpread.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=25, deadline=None
)
TestPacedSpread.settings = TestSpread.settings
