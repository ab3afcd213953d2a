"""Compare the compact tables with a dictionary under random sequences of calls."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pimentobend_core._internal.compact.routes import CompactRoutes
from pimentobend_core._internal.compact.rows import DictRows
from pimentobend_core._internal.compact.rows import Rows
from pimentobend_core._internal.compact.servers import CompactServers
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route

NAMES = st.sampled_from([f"name-{number}" for number in range(12)]) | st.text(
    max_size=3
)
ROUTES = st.builds(
    Route,
    name=NAMES,
    host=NAMES,
    path=st.text(max_size=300),
    methods=st.tuples() | st.tuples(NAMES),
    pool=NAMES,
    repeatable=st.booleans(),
    timeout_ms=st.integers(0, (1 << 32) - 1),
)
SERVERS = st.builds(
    Server,
    server_id=NAMES,
    service=NAMES,
    host=st.text(max_size=300),
    port=st.integers(0, 65_535),
    slots=st.integers(0, (1 << 32) - 1),
    data_centre=NAMES,
    region=NAMES,
    state=st.sampled_from(ServerState),
    incarnation=st.integers(0, (1 << 64) - 1),
)


class _RowsMachine(RuleBasedStateMachine):
    """Make the same calls on a compact table and on the dictionary."""

    compact: Rows[Any]
    model: DictRows[Any]

    def _put(self, row: Any) -> None:
        self.compact.put(row)
        self.model.put(row)

    @rule(key=NAMES)
    def remove(self, key: str) -> None:
        assert self.compact.remove(key) == self.model.remove(key)

    @rule(key=NAMES)
    def get(self, key: str) -> None:
        assert self.compact.get(key) == self.model.get(key)

    @invariant()
    def same_rows(self) -> None:
        assert len(self.compact) == len(self.model)
        for row in self.compact.rows():
            assert row == self.model.get(row[0])


class RoutesMachine(_RowsMachine):
    def __init__(self) -> None:
        super().__init__()
        self.compact = CompactRoutes()
        self.model = DictRows(lambda route: str(route.name))

    @rule(row=ROUTES)
    def put(self, row: Route) -> None:
        self._put(row)


class ServersMachine(_RowsMachine):
    def __init__(self) -> None:
        super().__init__()
        self.compact = CompactServers()
        self.model = DictRows(lambda server: str(server.server_id))

    @rule(row=SERVERS)
    def put(self, row: Server) -> None:
        self._put(row)


TestRoutes = RoutesMachine.TestCase
TestServers = ServersMachine.TestCase
for machine in (TestRoutes, TestServers):
    machine.settings = settings(
        derandomize=True, max_examples=40, stateful_step_count=40, deadline=None
    )
