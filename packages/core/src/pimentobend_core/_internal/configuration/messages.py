"""Versions of the tables, and changes between them.

A row is one route, one pool or one organisation.
"""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route


class Version(NamedTuple):
    """Version of the tables: the log position of the entry that made it."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


FIRST_VERSION = Version(0, 0)


class TablesDelta(NamedTuple):
    """Rows that were added, changed or removed since the version ``base``."""

    base: Version
    routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    pools: tuple[Pool, ...]
    removed_pools: tuple[str, ...]
    limits: ClientLimits | None = None
    label: int = 0  # the operators' number of the version, 0 without one
    organisations: tuple[Organisation, ...] = ()
    removed_organisations: tuple[str, ...] = ()


class VersionedDelta(NamedTuple):
    """Delta from ``delta.base`` to ``version``; ``digest`` is that of the result."""

    version: Version
    digest: bytes
    delta: TablesDelta


class WholeTables(NamedTuple):
    """All rows of a version."""

    version: Version
    digest: bytes
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: int = 0  # the operators' number of the version, 0 without one
    organisations: tuple[Organisation, ...] = ()


class TablesCommand(NamedTuple):
    """Log command that applies a delta, unless its change id was applied before."""

    change_id: str
    delta: TablesDelta


class ChangeOutcome(enum.Enum):
    """Result of a change; only ``ACCEPTED`` and ``UNKNOWN`` may have applied."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"  # the version in force is not the expected one
    NOT_LEADER = "not-leader"
    NO_MAJORITY = "no-majority"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too-large"
    INVALID = "invalid"  # the resulting tables would have faults
    STORAGE = "storage"
    UNKNOWN = "unknown"  # resend with the same id to learn the outcome


class ChangeAnswer(NamedTuple):
    """Outcome of a change, and the version it made or that stayed in force."""

    outcome: ChangeOutcome
    version: Version
