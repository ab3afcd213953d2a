"""Define the rows that the tree spreads and the messages that carry them."""

import enum
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import Rank


class RowKind(enum.IntEnum):
    """Name what a row's payload is; the tree itself reads liveness only."""

    LIVENESS = 0
    CONFIGURATION = 1
    SERVERS = 2
    EJECTIONS = 3


class RowId(NamedTuple):
    """Name a row within the fleet."""

    kind: int
    author: str
    name: str


class Row(NamedTuple):
    """Hold the latest word of an author; a later one has a greater rank."""

    row_id: RowId
    rank: Rank
    payload: bytes
    is_final: bool = False  # the row may be forgotten some time later


class NumberedRow(NamedTuple):
    """Hold a row with its number in the root's order."""

    number: int
    row: Row


class Position(NamedTuple):
    """Say up to where a root's order is known; epochs are terms of roots."""

    epoch: int
    number: int


START = Position(0, 0)


class Attach(NamedTuple):
    """Ask a parent for what follows a position, now and from now on."""

    position: Position
    digest: int
    life: Rank  # epoch of the child and count of its attachments
    wants_snapshot: bool


class Alive(NamedTuple):
    """Answer a beacon, so that the parent knows that it is heard."""

    life: Rank
    position: Position


class Publish(NamedTuple):
    """Carry rows from authors towards the root."""

    rows: tuple[Row, ...]


class Echo(NamedTuple):
    """Carry rows that a relay without a parent can't have numbered."""

    rows: tuple[Row, ...]
    is_forwarded: bool


class Delta(NamedTuple):
    """Carry the rows after a number, or all of them in a snapshot.

    ``base`` is where the root took over from the one before it.
    """

    position: Position
    base: Position
    after: int
    is_snapshot: bool
    rows: tuple[NumberedRow, ...]


class Beacon(NamedTuple):
    """Tell a child that its parent lives, and the digest at its position.

    The root counts ``pulse`` up at each beacon of its own, and the others pass
    it on, so that relays cut off from the root don't keep each other alive.
    """

    position: Position
    base: Position
    digest: int
    floor: int  # final rows up to this number are forgotten
    pulse: int


class Busy(NamedTuple):
    """Put off a snapshot, and name peers that may have one."""

    retry_after_s: float
    peers: tuple[str, ...]


class FetchSnapshot(NamedTuple):
    """Ask a peer for its whole store."""


PeerMessage = Attach | Alive | Publish | Echo | Delta | Beacon | Busy | FetchSnapshot


class FromPeer(NamedTuple):
    """Hand over a message of another instance."""

    sender: str
    message: PeerMessage


class PublishRows(NamedTuple):
    """Spread rows of this instance."""

    rows: tuple[Row, ...]


class SpreadTick(NamedTuple):
    """Let windows, beacons and waits end; due every 0.1 seconds."""


class BecomeRoot(NamedTuple):
    """Make a relay the root, in a term that no other root has."""

    term: int


class FollowParents(NamedTuple):
    """Make a relay, a former root included, follow these parents."""

    parents: tuple[str, ...]


class ToPeers(NamedTuple):
    """Send one message to several instances; encode it once."""

    recipients: tuple[str, ...]
    message: PeerMessage


class RowsArrived(NamedTuple):
    """Give rows that are new to this instance, in the root's order."""

    rows: tuple[Row, ...]


ClientInput = FromPeer | PublishRows | SpreadTick
RelayInput = FromPeer | PublishRows | SpreadTick | BecomeRoot | FollowParents
SpreadOutput = ToPeers | RowsArrived
