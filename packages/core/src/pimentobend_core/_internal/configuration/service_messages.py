"""Messages of the configuration service on a control replica."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route


class NextLabel(NamedTuple):
    """Operator-assigned version numbers of a change, used instead of log versions."""

    base: int  # the number that must be in force
    number: int


class Removals(NamedTuple):
    """Rows that a patch removes by name; rows it does not mention stay."""

    routes: tuple[str, ...]
    pools: tuple[str, ...]


class TablesChangeRequest(NamedTuple):
    """Request to replace the tables of the expected version.

    The tables have been validated. The reply repeats ``token``, which the
    sender chooses. With a label, ``label.base`` must match the operators'
    number in force and ``expected`` is ignored.
    """

    token: int
    change_id: str
    expected: Version
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: NextLabel | None = None
    removals: Removals | None = None  # None if routes and pools are complete tables


class TablesChangeReply(NamedTuple):
    """Answer to a change; ``leader_id`` is the known leader to redirect to."""

    token: int
    outcome: ChangeOutcome
    version: Version
    leader_id: str | None = None
    label: int = 0


class TablesReadRequest(NamedTuple):
    """Request the newest tables; the reply repeats ``token``."""

    token: int


class TablesRead(NamedTuple):
    """Answer to a read; ``whole`` is None if the read could not be confirmed."""

    token: int
    whole: WholeTables | None
    leader_id: str | None = None


class VersionReadRequest(NamedTuple):
    """Request the newest version without its tables; the reply repeats ``token``."""

    token: int


class VersionRead(NamedTuple):
    """Answer to a read of the version, which is None if no majority confirmed it.

    Every version that was acknowledged before the request is at most ``version``.
    """

    token: int
    version: Version | None


class TablesAccepted(NamedTuple):
    """Newly committed versions, oldest first."""

    deltas: tuple[VersionedDelta, ...]


class TablesReplaced(NamedTuple):
    """All tables, after a snapshot made the replica skip versions."""

    whole: WholeTables


ServiceInput = (
    TablesChangeRequest
    | TablesReadRequest
    | VersionReadRequest
    | Committed
    | Restored
    | ProposalResult
    | LeaderChanged
    | ReadReady
)
ServiceOutput = (
    Propose
    | Compact
    | ReadIndex
    | TablesChangeReply
    | TablesRead
    | VersionRead
    | TablesAccepted
    | TablesReplaced
)
