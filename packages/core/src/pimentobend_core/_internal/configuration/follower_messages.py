"""Define the messages that spread the tables from daemon to daemon.

Senders and recipients are link addresses.
"""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables


class CatchUp(NamedTuple):
    """Ask for what follows a version, or for all rows."""

    version: Version
    digest: bytes
    wants_whole: bool


class Deltas(NamedTuple):
    """Give the deltas that follow one another up to the version in force."""

    deltas: tuple[VersionedDelta, ...]


class Whole(NamedTuple):
    """Give all rows."""

    tables: WholeTables


class Current(NamedTuple):
    """Say which version is in force here."""

    version: Version
    digest: bytes


SpreadMessage = CatchUp | Deltas | Whole | Current


class SpreadReceived(NamedTuple):
    """Hand over a message of another daemon."""

    sender: str
    message: SpreadMessage


class SpreadSent(NamedTuple):
    """Send a message to another daemon."""

    recipient: str
    message: SpreadMessage


class VersionInForce(NamedTuple):
    """Put tables in force."""

    tables: WholeTables


class SourcesChanged(NamedTuple):
    """Name the daemons to ask, the nearest first."""

    sources: tuple[str, ...]


class NewerSeen(NamedTuple):
    """Name a daemon that has a newer version in force."""

    address: str
    version: Version


class FollowersChanged(NamedTuple):
    """Name daemons that are given each new version without asking."""

    addresses: tuple[str, ...]


class FollowerTick(NamedTuple):
    """Let time pass; due every ``TICK_S`` seconds."""


FollowerInput = (
    SpreadReceived | SourcesChanged | NewerSeen | FollowersChanged | FollowerTick
)
FollowerOutput = SpreadSent | VersionInForce
