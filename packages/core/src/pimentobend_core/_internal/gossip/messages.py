"""Messages of the gossip protocol between daemons."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion


class Ping(NamedTuple):
    """Request an ``Ack``, and pass on recent rows.

    ``digest`` is a hash over all rows that the sender knows; ``tables`` is the
    version of the routing tables that the sender uses.
    """

    number: int
    digest: int
    tables: Version
    rows: tuple[PeerRow, ...]


class Ack(NamedTuple):
    """Answer to the ``Ping`` with the same number; the other fields mean the same."""

    number: int
    digest: int
    tables: Version
    rows: tuple[PeerRow, ...]


class Pull(NamedTuple):
    """Request the rows that are newer than those listed, or not listed."""

    known: tuple[tuple[str, RowVersion], ...]


class Rows(NamedTuple):
    """Deliver rows; ``wanted`` lists the addresses whose rows the sender requests."""

    rows: tuple[PeerRow, ...]
    wanted: tuple[str, ...]


GossipMessage = Ping | Ack | Pull | Rows


class GossipReceived(NamedTuple):
    """A message from another daemon arrived."""

    sender: str
    message: GossipMessage


class OwnRowChanged(NamedTuple):
    """This daemon's own row changed; the node sets its ``version``."""

    row: PeerRow


class TablesChanged(NamedTuple):
    """This daemon now uses another version of the routing tables."""

    version: Version


class SeedsChanged(NamedTuple):
    """The seeds changed: the daemons that are contacted to join the fleet."""

    addresses: tuple[str, ...]


class PeerUnreachable(NamedTuple):
    """A daemon did not answer a message other than a ping."""

    address: str


class GossipTick(NamedTuple):
    """Periodic tick, sent every ``TICK_S`` seconds."""


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
    """The list of daemons changed; ``peers`` has the rows of all other daemons."""

    peers: tuple[PeerRow, ...]


class ReachabilityChanged(NamedTuple):
    """A daemon started or stopped answering this one."""

    address: str
    is_reachable: bool


class NewerTablesSeen(NamedTuple):
    """Another daemon uses a newer version of the routing tables than this one."""

    address: str
    version: Version


class EarlierRowSeen(NamedTuple):
    """Another daemon returned a row that this daemon published before a restart."""

    row: PeerRow


GossipOutput = (
    SendGossip | PeersChanged | ReachabilityChanged | NewerTablesSeen | EarlierRowSeen
)
