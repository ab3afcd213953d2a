"""Define versions and changes of the tables."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route


class Version(NamedTuple):
    """Name a version of the tables by its place in the replicated log."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


FIRST_VERSION = Version(0, 0)


class TablesDelta(NamedTuple):
    """Hold the rows added, changed or removed since the version ``base``."""

    base: Version
    routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    pools: tuple[Pool, ...]
    removed_pools: tuple[str, ...]
    limits: ClientLimits | None = None
    label: int = 0


class VersionedDelta(NamedTuple):
    """Lead from ``delta.base`` to ``version``, whose digest is given."""

    version: Version
    digest: bytes
    delta: TablesDelta


class WholeTables(NamedTuple):
    """Hold all rows of a version."""

    version: Version
    digest: bytes
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: int = 0


class TablesCommand(NamedTuple):
    """Ask the replicated state for a change; a resent id changes nothing."""

    change_id: str
    delta: TablesDelta


class ChangeOutcome(enum.Enum):
    """Name how a change ended; all but ``ACCEPTED`` and ``UNKNOWN`` did not run."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"  # another version is in force than the expected one
    NOT_LEADER = "not-leader"
    NO_MAJORITY = "no-majority"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too-large"
    INVALID = "invalid"  # the tables that would result have faults
    STORAGE = "storage"
    UNKNOWN = "unknown"  # resend it with its id to learn the outcome


class ChangeAnswer(NamedTuple):
    """Answer a change; the version that it made, or the one in force."""

    outcome: ChangeOutcome
    version: Version
