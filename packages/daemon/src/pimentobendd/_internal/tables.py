"""Hold the tables in force and tell the tasks that depend on them."""

from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.event

from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.traffic.routing import RouteMatcher

EMPTY_TABLES = Tables(term=0, log_index=0, routes=(), pools=())


class TablesInForce(TablesPort):
    """Own the version in force; it never goes back."""

    def __init__(self) -> None:
        self._tables = EMPTY_TABLES
        self._matcher = RouteMatcher(EMPTY_TABLES)
        self._subscribers: list[Callable[[Tables], None]] = []
        self._first: Any = eventlet.event.Event()

    def match(self, head: RequestHead) -> Route | None:
        """Return the route for a request."""
        return self._matcher.match(head.method, head.host, head.path)

    def current(self) -> Tables:
        """Return the version in force."""
        return self._tables

    def await_first(self, timeout_s: float) -> bool:
        """Wait until any tables are in force; say whether they are."""
        with eventlet.Timeout(timeout_s, False):
            self._first.wait()
        return bool(self._first.ready())

    def subscribe(self, function: Callable[[Tables], None]) -> None:
        """Call a function with each version that comes into force."""
        self._subscribers.append(function)

    def put(self, tables: Tables) -> bool:
        """Put a version in force unless it is no newer; say whether it was."""
        if tables[:2] <= self._tables[:2]:
            return False
        self._tables = tables
        self._matcher = RouteMatcher(tables)
        if not self._first.ready():
            self._first.send(None)
        for function in self._subscribers:
            function(tables)
        return True
