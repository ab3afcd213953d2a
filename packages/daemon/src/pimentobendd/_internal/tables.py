"""Keep the tables in force and notify the tasks that depend on them.

The tables in force are those by which this process routes requests now.
"""

from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.event

from pimentobend_core._internal.compact.organisations import pack_organisations
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.traffic.routing import RouteMatcher

EMPTY_TABLES = Tables(term=0, log_index=0, routes=(), pools=())


class TablesInForce(TablesPort):
    """Holds the tables in force; replaces them only by a newer version."""

    def __init__(self) -> None:
        self._tables = EMPTY_TABLES
        self._matcher = RouteMatcher(EMPTY_TABLES)
        self._organisations = pack_organisations(EMPTY_TABLES.organisations)
        self._has_limits = False
        self._subscribers: list[Callable[[Tables], None]] = []
        self._first_tables: Any = eventlet.event.Event()

    def match(self, head: RequestHead) -> Route | None:
        """Return the route of a request, or None."""
        return self._matcher.match(head.method, head.host, head.path)

    def current(self) -> Tables:
        """Return the version in force."""
        return self._tables

    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds the API key of a digest, or None."""
        return self._organisations.find(key_digest)

    @property
    def has_limits(self) -> bool:
        """Return whether any organisation has a limit."""
        return self._has_limits

    def find_limit(self, organisation: str) -> Limit | None:
        """Return the limit of an organisation by its name; None without one."""
        found = self._organisations.get(organisation)
        if found is None or found.rate_per_s <= 0:
            return None
        return Limit(found.rate_per_s, found.burst)

    def await_first(self, timeout_s: float) -> bool:
        """Wait until any tables are in force; return whether they are."""
        with eventlet.Timeout(timeout_s, False):
            self._first_tables.wait()
        return bool(self._first_tables.ready())

    def subscribe(self, function: Callable[[Tables], None]) -> None:
        """Call ``function`` with each version that comes into force."""
        self._subscribers.append(function)

    def put(self, tables: Tables) -> bool:
        """Put tables in force if their version is newer; return whether it was."""
        if tables[:2] <= self._tables[:2]:
            return False
        self._tables = tables
        self._matcher = RouteMatcher(tables)
        self._organisations = pack_organisations(tables.organisations)
        self._has_limits = any(row.rate_per_s > 0 for row in self._organisations)
        if not self._first_tables.ready():
            self._first_tables.send(None)
        for function in self._subscribers:
            function(tables)
        return True
