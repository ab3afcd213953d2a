"""Tell the fleet which instances answer round trips."""

from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.store import RowStore

_ALIVE = b"1"
_LOST = b"0"


def create_row(instance_id: str, life: Rank, relay_id: str) -> Row:
    """Say that an instance attached itself to a relay."""
    rank = Rank(life.epoch, 2 * life.sequence)
    return Row(_name(instance_id), rank, _ALIVE + relay_id.encode())


def create_lost_row(instance_id: str, life: Rank) -> Row:
    """Say that an instance fell silent in one attachment to a relay.

    It ranks behind the beginning of the attachment and before the next one,
    so relays that disagree settle by the instance's own count.
    """
    rank = Rank(life.epoch, 2 * life.sequence + 1)
    return Row(_name(instance_id), rank, _LOST)


def create_orphan_row(row: Row) -> Row:
    """Say that an instance is lost, as its relay is."""
    rank = Rank(row.rank.epoch, row.rank.sequence + 1)
    return Row(row.row_id, rank, _LOST)


def is_attached(store: RowStore, instance_id: str, epoch: int, relay_id: str) -> bool:
    """Say whether the fleet knows that an instance follows a relay."""
    row = store.get(_name(instance_id))
    if row is None or row.rank.epoch != epoch:
        return False
    return row.payload == _ALIVE + relay_id.encode()


def is_lost(store: RowStore, instance_id: str) -> bool:
    """Say whether the fleet knows that an instance is silent."""
    row = store.get(_name(instance_id))
    return row is not None and row.payload == _LOST


def find_relay(row: Row) -> str | None:
    """Return the relay of an instance that is alive."""
    if row.row_id.kind != RowKind.LIVENESS or row.payload[:1] != _ALIVE:
        return None
    return row.payload[1:].decode()


def read_row(row: Row) -> InstanceFound | InstanceLost:
    """Return what a row says of its instance."""
    if row.payload[:1] == _ALIVE:
        return InstanceFound(row.row_id.author, row.rank.epoch)
    return InstanceLost(row.row_id.author)


def _name(instance_id: str) -> RowId:
    return RowId(RowKind.LIVENESS, instance_id, "")
