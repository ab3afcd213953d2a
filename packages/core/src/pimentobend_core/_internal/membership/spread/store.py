"""Store of the replicated rows in the order in which the root numbered them.

A digest of all rows shows whether two stores are equal.
"""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.membership.spread.messages import START
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId

FINAL_ROW_S = 3600.0  # how long final rows are kept for instances that missed them
DIGEST_BYTES = 8


class _StoredRow(NamedTuple):
    """A stored row; ``stored_at`` is in seconds of the clock."""

    number: int
    stored_at: float
    row: Row


class RowStore:
    """Latest row of each id; a row of lower rank never replaces it."""

    def __init__(self) -> None:
        self.position = START
        self.base = START
        self._rows: dict[RowId, _StoredRow] = {}  # in order of numbers
        self._digest = 0
        self._floor = 0  # final rows up to this number may have been dropped

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def digest(self) -> int:
        """Return a digest of all rows, independent of their order."""
        return self._digest

    @property
    def floor(self) -> int:
        """Return the lowest number from which ``since`` is complete."""
        return self._floor

    def get(self, row_id: RowId) -> Row | None:
        """Return the latest row of an id, or None."""
        stored = self._rows.get(row_id)
        return None if stored is None else stored.row

    def number(self, row_id: RowId) -> int:
        """Return the number of a row, or 0 if there is none."""
        stored = self._rows.get(row_id)
        return 0 if stored is None else stored.number

    def age_s(self, row_id: RowId, now: float) -> float:
        """Return how many seconds ago a row was stored here."""
        return now - self._rows[row_id].stored_at

    def rows(self) -> Iterator[Row]:
        """Yield every row in the order of numbers."""
        return (stored.row for stored in self._rows.values())

    def put(self, numbered: NumberedRow, now: float) -> bool:
        """Store a row unless its rank is lower; return whether its rank is new."""
        number, row = numbered
        stored = self._rows.get(row.row_id)
        if stored is not None and row.rank < stored.row.rank:
            return False
        if stored is not None:
            self._remove(row.row_id)
        self._rows[row.row_id] = _StoredRow(number, now, row)
        self._digest ^= _hash(row)
        return stored is None or stored.row.rank != row.rank

    def drop(self, row_id: RowId) -> None:
        """Remove a row that a snapshot did not contain."""
        self._remove(row_id)

    def since(self, number: int) -> tuple[NumberedRow, ...]:
        """Return the rows after a number, in order."""
        rows = []
        for stored in reversed(self._rows.values()):
            if stored.number <= number:
                break
            rows.append(NumberedRow(stored.number, stored.row))
        return tuple(reversed(rows))

    def sort(self) -> None:
        """Restore the order of numbers after rows were stored out of order."""
        self._rows = dict(sorted(self._rows.items(), key=lambda item: item[1].number))

    def find_floor(self, now: float) -> int:
        """Return the number up to which final rows have been kept long enough."""
        expired = (
            stored.number
            for stored in self._rows.values()
            if stored.row.is_final and now - stored.stored_at >= FINAL_ROW_S
        )
        return max(expired, default=self._floor)

    def forget(self, floor: int) -> None:
        """Drop the final rows up to a number that the root chose."""
        if floor <= self._floor:
            return
        self._floor = floor
        for row_id, stored in tuple(self._rows.items()):
            if stored.row.is_final and stored.number <= floor:
                self._remove(row_id)

    def _remove(self, row_id: RowId) -> None:
        self._digest ^= _hash(self._rows.pop(row_id).row)


def _hash(row: Row) -> int:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    # A row that was not received holds its kind as an enum, which prints otherwise.
    row_id = row.row_id._replace(kind=int(row.row_id.kind))
    digest.update(repr((row_id, row.rank, row.is_final)).encode())
    digest.update(row.payload)
    return int.from_bytes(digest.digest(), "big")
