"""Send an author's rows up until they come back down."""

from pimentobend_core._internal.membership.spread.messages import Publish
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.store import FINAL_ROW_S
from pimentobend_core._internal.membership.spread.store import RowStore

RESEND_S = 2.0
ROWS_A_MESSAGE = 512


class Publisher:
    """Own the rows of this instance and which of them are not in force yet."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._own: dict[RowId, Row] = {}
        self._unconfirmed: dict[RowId, Row] = {}
        self._final_at: dict[RowId, float] = {}  # seconds of the clock
        self._resend_at = 0.0

    @property
    def waiting(self) -> int:
        """Return how many rows have not come back."""
        return len(self._unconfirmed)

    def add(self, rows: tuple[Row, ...], now: float) -> None:
        """Take rows to publish at the next chance."""
        for row in rows:
            self._final_at.pop(row.row_id, None)
            if row.is_final:
                self._final_at[row.row_id] = now
            self._own[row.row_id] = row
            self._unconfirmed[row.row_id] = row
        self._resend_at = 0.0

    def review(self, base_number: int) -> None:
        """Publish again what a new root may lack: it took over at a number."""
        for row_id, row in self._own.items():
            known = self._store.get(row_id)
            is_lacking = known is None or known.rank < row.rank
            if is_lacking or self._store.number(row_id) > base_number:
                self._unconfirmed[row_id] = row

    def confirm_held(self) -> None:
        """Note that the root's store equals the one of this instance."""
        for row in tuple(self._unconfirmed.values()):
            if self._store.get(row.row_id) == row:
                self.confirm(row)

    def repair(self, rows: tuple[Row, ...]) -> None:
        """Publish rows of others that the root knows an earlier word of."""
        self._unconfirmed.update({row.row_id: row for row in rows})

    def confirm(self, row: Row) -> None:
        """Note that a row came down the tree."""
        waiting = self._unconfirmed.get(row.row_id)
        if waiting is None or row.rank < waiting.rank:
            return
        del self._unconfirmed[row.row_id]

    def take(self, now: float) -> Publish | None:
        """Return what is to be sent now, if anything."""
        self._forget(now)
        if not self._unconfirmed or now < self._resend_at:
            return None
        self._resend_at = now + RESEND_S
        rows = tuple(self._unconfirmed.values())[:ROWS_A_MESSAGE]
        return Publish(rows)

    def _forget(self, now: float) -> None:
        """Drop final rows once everybody else may forget them too."""
        while self._final_at:
            row_id, final_at = next(iter(self._final_at.items()))
            if now - final_at < FINAL_ROW_S:
                return
            del self._final_at[row_id]
            self._own.pop(row_id, None)
