"""Messages that replicate the tables from daemon to daemon.

Senders and recipients are the addresses at which daemons reach each other. A row
is one route, one pool or one organisation.
"""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.models.tables import Tables


class CatchUp(NamedTuple):
    """Request the deltas after ``version``, or all rows if ``wants_whole``."""

    version: Version
    digest: bytes
    wants_whole: bool


class Deltas(NamedTuple):
    """Send successive deltas, the last of which makes the sender's version in force."""

    deltas: tuple[VersionedDelta, ...]


class TablesSnapshot(NamedTuple):
    """Send all rows of the sender's version."""

    tables: WholeTables


class Current(NamedTuple):
    """Announce the sender's version in force.

    The digest is empty if the sender's rows are damaged or older than those of
    the daemon that asked.
    """

    version: Version
    digest: bytes


SpreadMessage = CatchUp | Deltas | TablesSnapshot | Current


class SpreadReceived(NamedTuple):
    """A message arrived from another daemon."""

    sender: str
    message: SpreadMessage


class SpreadSent(NamedTuple):
    """Send a message to another daemon."""

    recipient: str
    message: SpreadMessage


class VersionInForce(NamedTuple):
    """These tables are in force from now on."""

    tables: Tables


class SourcesChanged(NamedTuple):
    """Replace the daemons to replicate from, listed nearest first."""

    sources: tuple[str, ...]


class NewerSeen(NamedTuple):
    """Hint that a daemon was seen with a newer version in force."""

    address: str
    version: Version


class FollowersChanged(NamedTuple):
    """Replace the daemons that get each new version without polling for it."""

    addresses: tuple[str, ...]


class FollowerTick(NamedTuple):
    """Run timers; due every ``TICK_S`` seconds."""


FollowerInput = (
    SpreadReceived | SourcesChanged | NewerSeen | FollowersChanged | FollowerTick
)
FollowerOutput = SpreadSent | VersionInForce
