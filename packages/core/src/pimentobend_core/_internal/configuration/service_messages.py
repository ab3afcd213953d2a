"""Define the messages of the configuration's service on a control replica."""

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
    """Number a change by the operators' own count, in place of log versions."""

    base: int  # the number that the change builds on
    number: int


class Removals(NamedTuple):
    """Make a change a patch: rows not named stay as they are."""

    routes: tuple[str, ...]
    pools: tuple[str, ...]


class ChangeAsked(NamedTuple):
    """Ask for checked tables in place of the expected version.

    The token is the asker's; it comes back in the reply. With a label the
    change builds on the operators' number and ``expected`` counts for nothing.
    """

    token: int
    change_id: str
    expected: Version
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits | None = None
    label: NextLabel | None = None
    removals: Removals | None = None  # None where routes and pools are whole


class ChangeReplied(NamedTuple):
    """Answer a change; ``leader_id`` may name the replica to ask instead."""

    token: int
    outcome: ChangeOutcome
    version: Version
    leader_id: str | None = None
    label: int = 0


class ReadAsked(NamedTuple):
    """Ask for the newest tables; the token is the asker's."""

    token: int


class TablesRead(NamedTuple):
    """Answer a read; ``whole`` is None where nobody can be sure of the newest."""

    token: int
    whole: WholeTables | None
    leader_id: str | None = None


class TablesAccepted(NamedTuple):
    """Give versions that a majority has stored, in their order."""

    deltas: tuple[VersionedDelta, ...]


class TablesReplaced(NamedTuple):
    """Give all tables after a replica skipped versions."""

    whole: WholeTables


ServiceInput = (
    ChangeAsked
    | ReadAsked
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
    | ChangeReplied
    | TablesRead
    | TablesAccepted
    | TablesReplaced
)
