"""Define what the operators' interface asks of the configuration."""

import abc
from typing import NamedTuple

from returns.result import Result

from pimentobend_core._internal.models.tables import TablesDocument


class Version(NamedTuple):
    """Name a version of the tables by its place in the replicated log."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


class ChangeRequest(NamedTuple):
    """Ask for new tables in place of the version that the operator saw."""

    document: TablesDocument
    expected: Version
    change_id: str


class ChangeRefused(NamedTuple):
    """Refuse a change; ``status`` is the HTTP status that says why."""

    status: int
    message: str
    hint: str


class ControlPort(abc.ABC):
    """Reach the owner of the configuration."""

    @abc.abstractmethod
    def apply(self, request: ChangeRequest) -> Result[Version, ChangeRefused]:
        """Make a change durable, or refuse it before it is accepted."""
