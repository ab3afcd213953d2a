"""Probes that measure the memory of routes, servers and organisations."""

import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_bench._internal.capacity.rows import make_servers
from pimentobend_core._internal.compact.routes import CompactRoutes
from pimentobend_core._internal.compact.rows import DictRows
from pimentobend_core._internal.compact.rows import Rows
from pimentobend_core._internal.compact.servers import CompactServers

_ROUTE_COUNTS = (2_250, 4_500, 9_000, 18_000)
_SERVER_COUNTS = (5_000, 10_000, 20_000, 40_000)
_ORGANISATION_COUNTS = (10_000, 21_250, 42_500, 85_000)
_WARM_UP_ROWS = 4


class TableMemoryProbe(MemoryProbe):
    """Fill a table of rows."""

    def __init__(
        self,
        name: str,
        sized_by: str,
        create_table: Callable[[], Rows[Any]],
        make_rows: Callable[[int], Iterable[Any]],
        sizes: tuple[int, ...],
    ) -> None:
        self.name = name
        self.sized_by = sized_by
        self.sizes = sizes
        self.mechanism = f"core {create_table().__module__.rpartition('_internal.')[2]}"
        self._create_table = create_table
        self._make_rows = make_rows

    def warm_up(self) -> None:
        """Fill a small table."""
        self._fill(_WARM_UP_ROWS)

    def build(self, size: int) -> object:
        """Return a table of ``size`` rows."""
        return self._fill(size)

    def _fill(self, size: int) -> Rows[Any]:
        table = self._create_table()
        for row in self._make_rows(size):
            table.put(row)
        return table


class OrganisationDictMemoryProbe(MemoryProbe):
    """Keep two counters for each organisation in a dict, as a baseline."""

    name = "memory-organisation-dict"
    sized_by = "organisations"
    sizes = _ORGANISATION_COUNTS
    mechanism = "baseline"

    def warm_up(self) -> None:
        """Do nothing: the counters need no code but the interpreter's."""

    def build(self, size: int) -> object:
        """Return the counters of ``size`` organisations."""
        generator = random.Random(size)
        return {
            f"organisation-{number}": [generator.random(), generator.random()]
            for number in range(size)
        }


PROBES = (
    TableMemoryProbe(
        "memory-route-dict",
        "routes",
        lambda: DictRows(lambda route: str(route.name)),
        make_routes,
        _ROUTE_COUNTS,
    ),
    TableMemoryProbe(
        "memory-route-compact", "routes", CompactRoutes, make_routes, _ROUTE_COUNTS
    ),
    TableMemoryProbe(
        "memory-server-dict",
        "servers",
        lambda: DictRows(lambda server: str(server.server_id)),
        make_servers,
        _SERVER_COUNTS,
    ),
    TableMemoryProbe(
        "memory-server-compact", "servers", CompactServers, make_servers, _SERVER_COUNTS
    ),
    OrganisationDictMemoryProbe(),
)
