"""Messages about the proof that a daemon's tables are the newest.

Times are in seconds of the clock that counts suspensions. They hold on one machine
only, so messages between daemons carry ages.
"""

from typing import NamedTuple

from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import Version


class Proof(NamedTuple):
    """Every version that was acknowledged before ``proven_at`` is at most ``version``.

    It proves the tables of that version and of all later ones.
    """

    version: Version
    proven_at: float
    source: str  # address of the control instance that stated it


class ProofAsk(NamedTuple):
    """Ask a control instance for its proof; the reply repeats ``token``."""

    token: int


class ProofReply(NamedTuple):
    """State a proof by its version and its age when the reply was made."""

    token: int
    version: Version
    age_s: float


class ProofAskReceived(NamedTuple):
    """Another daemon asks for the proof."""

    sender: str
    ask: ProofAsk


class ProofReplyReceived(NamedTuple):
    """A control instance replied."""

    sender: str
    reply: ProofReply


class ProofSent(NamedTuple):
    """Send a message to another daemon."""

    recipient: str
    message: ProofAsk | ProofReply


class ProofTargetsChanged(NamedTuple):
    """Replace the control instances to ask, listed nearest first."""

    addresses: tuple[str, ...]


class TablesVersionChanged(NamedTuple):
    """Tables of this version are in force from now on."""

    version: Version


class ProofTick(NamedTuple):
    """Ask if it is due, and drop a proof that has become too old."""


class TablesProven(NamedTuple):
    """The proof that counts for the tables in force from now on."""

    proof: Proof


class NewerTablesProven(NamedTuple):
    """The control instance at ``address`` knows of tables newer than those in force."""

    address: str
    version: Version


class ProofRegained(NamedTuple):
    """There is a proof again, or for the first time."""

    source: str
    age_s: float


class ProofLost(NamedTuple):
    """The last proof has become too old."""

    source: str
    age_s: float


ProofInput = ProofTick | ProofTargetsChanged | ProofReplyReceived | TablesVersionChanged
ProofOutput = ProofSent | TablesProven | NewerTablesProven | ProofRegained | ProofLost
RelayInput = (
    ProofTick
    | ProofTargetsChanged
    | ProofReplyReceived
    | ProofAskReceived
    | LeadershipConfirmed
)
RelayOutput = ProofSent | ProofRegained | ProofLost
