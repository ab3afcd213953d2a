"""Check the invariants of a pool's traffic under random message sequences."""

import hypothesis
import hypothesis.strategies as st
import traffic_values as values
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficTick

PLACES = ("lahore-a/punjab", "lahore-b/punjab", "karachi-a/sindh")
SERVERS = st.lists(
    st.builds(
        values.create_server,
        number=st.integers(0, 4),
        slots=st.integers(1, 4),
        state=st.sampled_from(ServerState),
        incarnation=st.integers(1, 3),
        place=st.sampled_from(PLACES),
    ),
    unique_by=lambda server: server.server_id,
    max_size=5,
)


class PoolMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue_limit = 5
        self.traffic = values.create_traffic(queue_limit=self.queue_limit)
        self.servers: dict[str, Server] = {}
        self.weights: dict[str, float] = {}
        self.deadlines: dict[int, float] = {}
        self.waiting: set[int] = set()
        self.in_flight: dict[int, str] = {}
        self.tickets = 0
        self.send(ServersChanged((values.create_server(0),)))
        self.servers = {"s0": values.create_server(0)}

    def send(self, message: TrafficInput) -> None:
        for output in self.traffic.handle(message, self.now):
            assert output.ticket in self.waiting
            self.waiting.discard(output.ticket)
            if isinstance(output, Granted):
                self.check_grant(output)
            else:
                assert output.refusal.ran is Ran.NOT_RUN
                assert output.refusal.retry_after_s is not None

    def check_grant(self, output: Granted) -> None:
        server = self.servers[output.server.server_id]
        assert output.server == server
        assert server.state is ServerState.READY
        assert self.weights.get(server.server_id, 1.0) > 0.0
        assert self.now < self.deadlines[output.ticket]
        self.in_flight[output.ticket] = server.server_id
        in_use = list(self.in_flight.values()).count(server.server_id)
        assert in_use <= server.slots

    @rule(
        time_left_s=st.floats(-0.1, 3.0),
        route=st.sampled_from(("book", "report")),
        organisation=st.sampled_from(("museum", "archive")),
        excluded=st.frozensets(st.sampled_from(("s0", "s1")), max_size=2),
        is_hedge=st.booleans(),
    )
    def acquire(
        self,
        time_left_s: float,
        route: str,
        organisation: str,
        excluded: frozenset[str],
        is_hedge: bool,
    ) -> None:
        self.tickets += 1
        self.waiting.add(self.tickets)
        self.deadlines[self.tickets] = self.now + time_left_s
        self.send(
            values.create_acquire(
                self.tickets,
                self.now + time_left_s,
                route,
                organisation,
                excluded,
                is_hedge,
            )
        )

    @rule(
        choice=st.integers(0, 50),
        kind=st.sampled_from(AttemptKind),
        in_use=st.one_of(st.none(), st.integers(0, 9)),
    )
    def end(self, choice: int, kind: AttemptKind, in_use: int | None) -> None:
        if not self.in_flight:
            return
        ticket = sorted(self.in_flight)[choice % len(self.in_flight)]
        server_id = self.in_flight.pop(ticket)
        self.send(values.create_ended(ticket, server_id, kind, in_use))

    @rule(ticket=st.integers(0, 60))
    def abandon(self, ticket: int) -> None:
        self.waiting.discard(ticket)
        self.in_flight.pop(ticket, None)
        self.send(Abandon(ticket))

    @rule(servers=SERVERS)
    def change_servers(self, servers: list[Server]) -> None:
        self.servers = {server.server_id: server for server in servers}
        self.send(ServersChanged(tuple(servers)))

    @rule(
        weights=st.dictionaries(
            st.sampled_from(("s0", "s1", "s2")), st.sampled_from((0.0, 0.1, 0.5))
        )
    )
    def change_health(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self.send(HealthChanged(tuple(weights.items())))

    @rule(queue_limit=st.integers(1, 6))
    def configure(self, queue_limit: int) -> None:
        self.queue_limit = queue_limit
        self.send(ConfigurePool(values.create_pool(queue_limit)))

    @rule(step_s=st.floats(0.0, 2.0))
    def advance(self, step_s: float) -> None:
        self.now += step_s
        self.send(TrafficTick())
        expired = [one for one in self.waiting if self.deadlines[one] <= self.now]
        assert not expired

    @invariant()
    def queue_is_bounded(self) -> None:
        state = self.traffic.dump()
        assert state["queued"] == len(self.waiting)
        assert len(self.waiting) <= self.queue_limit
        assert state["in_flight"] == len(self.in_flight)


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
