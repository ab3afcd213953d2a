"""Define the port through which operators change the configuration."""

import abc
from typing import NamedTuple

from returns.result import Result

from pimentobend_core._internal.models.tables import TablesDocument


class Version(NamedTuple):
    """A version of the tables: its position in the replicated log."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


class ChangeRequest(NamedTuple):
    """New tables to replace ``expected``, the version that the operator saw."""

    document: TablesDocument
    expected: Version
    change_id: str


class ChangeRefused(NamedTuple):
    """Why a change was refused; ``status`` is the HTTP status of the reply."""

    status: int
    message: str
    hint: str


class ControlPort(abc.ABC):
    """Access to the replicated configuration."""

    @abc.abstractmethod
    def apply(self, request: ChangeRequest) -> Result[Version, ChangeRefused]:
        """Make a change durable, or return why it was refused."""
