"""Find instances that were lost together with their relay."""

from pimentobend_core._internal.membership.spread.liveness import create_orphan_row
from pimentobend_core._internal.membership.spread.liveness import find_relay
from pimentobend_core._internal.membership.spread.liveness import is_lost
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.store import RowStore

REATTACH_S = 10.0  # how long the children of a lost relay have to attach elsewhere


class OrphanFinder:
    """Find, on the root, the instances whose relay is lost and that have no other."""

    def __init__(self, store: RowStore, instance_id: str) -> None:
        self._store = store
        self._instance_id = instance_id
        self._lost_at: dict[str, float] = {}

    def find(self, now: float) -> tuple[Row, ...]:
        """Return rows for instances whose relay was lost for ``REATTACH_S``."""
        children: dict[str, list[Row]] = {}
        for row in self._store.rows():
            relay_id = find_relay(row)
            if relay_id is not None and relay_id != self._instance_id:
                children.setdefault(relay_id, []).append(row)
        lost = [relay_id for relay_id in children if is_lost(self._store, relay_id)]
        self._lost_at = {name: self._lost_at.get(name, now) for name in lost}
        return tuple(
            create_orphan_row(row)
            for relay_id, lost_at in self._lost_at.items()
            if now - lost_at >= REATTACH_S
            for row in children[relay_id]
        )
