"""Liveness rows: which instances answer beacons, and through which relay."""

from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.store import RowStore

_ALIVE = b"1"
_LOST = b"0"


def create_row(instance_id: str, attachment: Rank, relay_id: str) -> Row:
    """Return the row for an instance that is attached to a relay."""
    rank = Rank(attachment.epoch, 2 * attachment.sequence)
    return Row(_create_row_id(instance_id), rank, _ALIVE + relay_id.encode())


def create_lost_row(instance_id: str, attachment: Rank) -> Row:
    """Return the row for an instance that timed out in one attachment.

    It ranks after the start of that attachment and before the next one. If
    relays disagree, the row for the instance's latest attachment wins.
    """
    rank = Rank(attachment.epoch, 2 * attachment.sequence + 1)
    return Row(_create_row_id(instance_id), rank, _LOST)


def create_orphan_row(row: Row) -> Row:
    """Return the row for an instance that is lost because its relay is."""
    rank = Rank(row.rank.epoch, row.rank.sequence + 1)
    return Row(row.row_id, rank, _LOST)


def is_attached(store: RowStore, instance_id: str, epoch: int, relay_id: str) -> bool:
    """Return whether the store has the instance as attached to this relay."""
    row = store.get(_create_row_id(instance_id))
    if row is None or row.rank.epoch != epoch:
        return False
    return row.payload == _ALIVE + relay_id.encode()


def is_lost(store: RowStore, instance_id: str) -> bool:
    """Return whether the store has the instance as lost."""
    row = store.get(_create_row_id(instance_id))
    return row is not None and row.payload == _LOST


def find_relay(row: Row) -> str | None:
    """Return the relay that a live instance is attached to, or None."""
    if row.row_id.kind != RowKind.LIVENESS or row.payload[:1] != _ALIVE:
        return None
    return row.payload[1:].decode()


def read_row(row: Row) -> InstanceFound | InstanceLost:
    """Decode a liveness row for the membership view."""
    if row.payload[:1] == _ALIVE:
        return InstanceFound(row.row_id.author, row.rank.epoch)
    return InstanceLost(row.row_id.author)


def _create_row_id(instance_id: str) -> RowId:
    return RowId(RowKind.LIVENESS, instance_id, "")
