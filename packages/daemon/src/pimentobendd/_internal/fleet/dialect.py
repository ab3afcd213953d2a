"""Define what the interfaces to callers, servers and operators plug into."""

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
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

Application = Callable[..., Any]  # a WSGI application


class LabelledChange(NamedTuple):
    """Hold a change whose version the operators number themselves.

    Equal contents must have equal ids, so that a change that is sent again
    gets its first answer.
    """

    change_id: str
    label: NextLabel
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None
    removals: Removals | None  # None where the tables are given whole


class ConfigurationPort(abc.ABC):
    """Reach the owner of the configuration."""

    @abc.abstractmethod
    def apply(self, change: LabelledChange) -> ChangeOutcome:
        """Make a change durable, or say why it was not."""

    @abc.abstractmethod
    def read(self) -> WholeTables | None:
        """Return the newest tables, or None when it is not sure that they are."""


class ServersPort(abc.ABC):
    """Reach the registry of the servers beside this daemon."""

    @abc.abstractmethod
    def announce(self, announcement: Announcement) -> Result[None, tuple[str, ...]]:
        """Take an announcement, or return its faults."""

    @abc.abstractmethod
    def withdraw(self, withdrawal: Withdrawal) -> None:
        """Take a server's last word."""


class Dialect(abc.ABC):
    """Name the headers and build the interfaces of one way of speaking."""

    @property
    @abc.abstractmethod
    def names(self) -> HeaderNames:
        """Return the headers that callers and servers use."""

    @abc.abstractmethod
    def create_servers(self, servers: ServersPort, beside: str) -> Application:
        """Return what takes announcements; ``beside`` may name the only address."""

    @abc.abstractmethod
    def create_operators(self, configuration: ConfigurationPort) -> Application:
        """Return what takes changes and reads of the configuration."""

    @abc.abstractmethod
    def create_ready(self, is_ready: Callable[[], bool]) -> Application:
        """Return what says whether callers may be sent here."""
