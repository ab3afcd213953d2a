"""Rows that are replicated to all instances, and the messages that carry them.

A row is one entry of the replicated data, such as the state of one server. The
instances form a tree: an instance (the child) follows another one (its parent),
up to the root. Rows go up to the root, which numbers them in the order of their
arrival (the root's order), and come down from parent to child. While an
instance can't reach the root, it sends rows to nearby instances without a
number; this is an echo.
"""

import enum
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import Rank


class RowKind(enum.IntEnum):
    """Kind of a row's payload; the relays themselves read LIVENESS rows only."""

    LIVENESS = 0
    CONFIGURATION = 1
    SERVERS = 2
    EJECTIONS = 3
    CRASHES = 4


class RowId(NamedTuple):
    """Identity of a row within the fleet."""

    kind: int
    author: str
    name: str


class Row(NamedTuple):
    """One state of a row; a later one of the same author has a higher rank."""

    row_id: RowId
    rank: Rank
    payload: bytes
    is_final: bool = False  # a tombstone: the row may be dropped after FINAL_ROW_S


class NumberedRow(NamedTuple):
    """A row with its sequence number in the root's order."""

    number: int
    row: Row


class Position(NamedTuple):
    """Last known number in a root's order; the epoch is the root's term."""

    epoch: int
    number: int


START = Position(0, 0)


class Attach(NamedTuple):
    """Subscribe to a parent: request the rows after a position and later deltas."""

    position: Position
    digest: int
    life: Rank  # the child's epoch, and how often it has attached since its start
    wants_snapshot: bool


class Alive(NamedTuple):
    """Answer to a beacon, which confirms the link to the parent."""

    life: Rank
    position: Position


class Publish(NamedTuple):
    """Rows sent from their authors up to the root, relay by relay."""

    rows: tuple[Row, ...]


class Echo(NamedTuple):
    """Rows without a number, from an instance that cannot reach the root.

    With ``is_forwarded``, the recipient also sends the rows to its children.
    """

    rows: tuple[Row, ...]
    is_forwarded: bool


class Delta(NamedTuple):
    """The rows after the number ``after``, or all rows in a snapshot.

    ``base`` is the position at which the root took over from the previous one.
    """

    position: Position
    base: Position
    after: int
    is_snapshot: bool
    rows: tuple[NumberedRow, ...]


class Beacon(NamedTuple):
    """Heartbeat of a parent, with the digest of its rows at its position.

    The root increments ``pulse`` at each beacon and the others pass it on, so
    that relays cut off from the root don't keep each other alive.
    """

    position: Position
    base: Position
    digest: int
    floor: int  # final rows up to this number may have been dropped
    pulse: int


class Busy(NamedTuple):
    """Refusal of a snapshot for now, with peers that may serve one."""

    retry_after_s: float
    peers: tuple[str, ...]


class FetchSnapshot(NamedTuple):
    """Request a snapshot of a peer's store."""


PeerMessage = Attach | Alive | Publish | Echo | Delta | Beacon | Busy | FetchSnapshot


class FromPeer(NamedTuple):
    """A message arrived from another instance."""

    sender: str
    message: PeerMessage


class PublishRows(NamedTuple):
    """Publish rows of this instance."""

    rows: tuple[Row, ...]


class SpreadTick(NamedTuple):
    """Run timers of flushes, beacons and retries; due every 0.1 seconds."""


class BecomeRoot(NamedTuple):
    """Make this relay the root, in a term that no other root has."""

    term: int


class FollowParents(NamedTuple):
    """Make this relay follow these parents, also if it was the root."""

    parents: tuple[str, ...]


class ToPeers(NamedTuple):
    """Send one message to several instances; encode it once."""

    recipients: tuple[str, ...]
    message: PeerMessage


class RowsArrived(NamedTuple):
    """Rows that are new to this instance, in the root's order."""

    rows: tuple[Row, ...]


ClientInput = FromPeer | PublishRows | SpreadTick
RelayInput = FromPeer | PublishRows | SpreadTick | BecomeRoot | FollowParents
SpreadOutput = ToPeers | RowsArrived
