"""Define the base classes through which a platform sets its HTTP interfaces."""

import abc
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from returns.result import Result

from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.service_messages import NextLabel
from pimentobend_core._internal.configuration.service_messages import Removals
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Withdrawal
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

Application = Callable[..., Any]  # a WSGI application


class LabelledChange(NamedTuple):
    """A change of the configuration whose version number the operators choose.

    Equal contents must have equal ids, so that a resent change gets the reply
    to the first one.
    """

    change_id: str
    label: NextLabel
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None
    removals: Removals | None  # None if the tables are complete
    organisations: tuple[Organisation, ...] = ()


class ConfigurationPort(abc.ABC):
    """Access to the replicated configuration."""

    @abc.abstractmethod
    def apply(self, change: LabelledChange) -> ChangeOutcome:
        """Make a change durable and return the outcome."""

    @abc.abstractmethod
    def read(self) -> WholeTables | None:
        """Return the newest tables, or None if no leader confirms that they are."""


class ServersPort(abc.ABC):
    """Access to the registry of the backend servers on this daemon's machine."""

    @abc.abstractmethod
    def announce(self, announcement: Announcement) -> Result[None, tuple[str, ...]]:
        """Register or renew a server, or return the faults of the announcement."""

    @abc.abstractmethod
    def withdraw(self, withdrawal: Withdrawal) -> bool:
        """Remove a server that is shutting down; return whether that is recorded."""

    @abc.abstractmethod
    def report_refused(self, server_id: str, faults: tuple[str, ...]) -> None:
        """Record that an announcement was refused, and why."""


class Dialect(abc.ABC):
    """The headers and HTTP interfaces of one platform."""

    @property
    @abc.abstractmethod
    def names(self) -> HeaderNames:
        """Return the headers that callers and servers use."""

    @abc.abstractmethod
    def create_servers(self, servers: ServersPort, beside: str) -> Application:
        """Return the interface for announcements.

        If ``beside`` is not empty, it is the address of the backend server on the
        daemon's machine, and the only one that may be announced.
        """

    @abc.abstractmethod
    def create_operators(self, configuration: ConfigurationPort) -> Application:
        """Return the interface for changes and reads of the configuration."""

    @abc.abstractmethod
    def create_ready(self, is_ready: Callable[[], bool]) -> Application:
        """Return the readiness probe."""
