"""Define the messages by which daemons spread their rows."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.gossip.rows import Life
from pimentobend_core._internal.gossip.rows import PeerRow


class Ping(NamedTuple):
    """Ask for an ``Ack``, and pass on recent rows.

    ``digest`` covers all rows that the sender knows; ``tables`` is the version
    that it has in force.
    """

    number: int
    digest: int
    tables: Version
    rows: tuple[PeerRow, ...]


class Ack(NamedTuple):
    """Answer a ``Ping``."""

    number: int
    digest: int
    tables: Version
    rows: tuple[PeerRow, ...]


class Pull(NamedTuple):
    """Ask for the rows that are newer than, or missing from, those listed."""

    known: tuple[tuple[str, Life], ...]


class Rows(NamedTuple):
    """Give rows; ``wanted`` names addresses whose rows the sender lacks."""

    rows: tuple[PeerRow, ...]
    wanted: tuple[str, ...]


GossipMessage = Ping | Ack | Pull | Rows


class GossipReceived(NamedTuple):
    """Hand over another daemon's message."""

    sender: str
    message: GossipMessage


class OwnRowChanged(NamedTuple):
    """Replace this daemon's own row; its life is counted on by the node."""

    row: PeerRow


class TablesChanged(NamedTuple):
    """Name the version of the tables that is in force here."""

    version: Version


class SeedsChanged(NamedTuple):
    """Name the daemons that are asked first."""

    addresses: tuple[str, ...]


class PeerUnreachable(NamedTuple):
    """Report a daemon that gave no answer to a request of another kind."""

    address: str


class GossipTick(NamedTuple):
    """Let time pass; due every ``TICK_S`` seconds."""


GossipInput = (
    GossipReceived
    | OwnRowChanged
    | TablesChanged
    | SeedsChanged
    | PeerUnreachable
    | GossipTick
)


class SendGossip(NamedTuple):
    """Send a message to another daemon."""

    recipient: str
    message: GossipMessage


class PeersChanged(NamedTuple):
    """Give all rows but this daemon's own."""

    peers: tuple[PeerRow, ...]


class ReachabilityChanged(NamedTuple):
    """Return whether a daemon answers this one."""

    address: str
    is_reachable: bool


class NewerTablesSeen(NamedTuple):
    """Name a daemon that has a newer version of the tables in force."""

    address: str
    version: Version


GossipOutput = SendGossip | PeersChanged | ReachabilityChanged | NewerTablesSeen
