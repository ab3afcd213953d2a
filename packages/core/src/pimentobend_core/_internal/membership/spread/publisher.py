"""Publish rows to the root and resend them until the root sends them back."""

from pimentobend_core._internal.membership.spread.messages import Publish
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.store import FINAL_ROW_S
from pimentobend_core._internal.membership.spread.store import RowStore

RESEND_S = 2.0
ROWS_PER_MESSAGE = 512


class Publisher:
    """Store the rows that this instance publishes until the root confirms them."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._published: dict[RowId, Row] = {}
        self._unconfirmed: dict[RowId, Row] = {}
        self._final_at: dict[RowId, float] = {}  # when a final row was published
        self._resend_at = 0.0

    @property
    def waiting(self) -> int:
        """Return how many rows have not come back from the root."""
        return len(self._unconfirmed)

    def add(self, rows: tuple[Row, ...], now: float) -> None:
        """Add rows to publish on the next ``take``."""
        for row in rows:
            self._final_at.pop(row.row_id, None)
            if row.is_final:
                self._final_at[row.row_id] = now
            self._published[row.row_id] = row
            self._unconfirmed[row.row_id] = row
        self._resend_at = 0.0

    def republish_unseen(self, base_number: int) -> None:
        """Publish again what a root may lack that took over at ``base_number``."""
        for row_id, row in self._published.items():
            known = self._store.get(row_id)
            is_behind = known is None or known.rank < row.rank
            if is_behind or self._store.number(row_id) > base_number:
                self._unconfirmed[row_id] = row

    def confirm_stored(self) -> None:
        """Confirm the rows in the store, once its digest matched the parent's."""
        for row in tuple(self._unconfirmed.values()):
            if self._store.get(row.row_id) == row:
                self.confirm(row)

    def repair(self, rows: tuple[Row, ...]) -> None:
        """Publish rows of any author of which the root has only an older state."""
        self._unconfirmed.update({row.row_id: row for row in rows})

    def confirm(self, row: Row) -> None:
        """Record that a row came back from the root."""
        waiting = self._unconfirmed.get(row.row_id)
        if waiting is None or row.rank < waiting.rank:
            return
        del self._unconfirmed[row.row_id]

    def take(self, now: float) -> Publish | None:
        """Return the rows that are due to be sent, if any."""
        self._forget(now)
        if not self._unconfirmed or now < self._resend_at:
            return None
        self._resend_at = now + RESEND_S
        rows = tuple(self._unconfirmed.values())[:ROWS_PER_MESSAGE]
        return Publish(rows)

    def _forget(self, now: float) -> None:
        """Drop final rows once every other instance may drop them too."""
        while self._final_at:
            row_id, final_at = next(iter(self._final_at.items()))
            if now - final_at < FINAL_ROW_S:
                return
            del self._final_at[row_id]
            self._published.pop(row_id, None)
