"""Hold the rows of the fleet in the root's order, with a digest."""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.membership.spread.messages import START
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId

FINAL_ROW_S = 3600.0  # a final row is kept so long for those that missed it
DIGEST_BYTES = 8


class _Held(NamedTuple):
    """Hold a row; ``at`` is in seconds of the clock."""

    number: int
    at: float
    row: Row


class RowStore:
    """Keep the latest row of each author and name, never an earlier one."""

    def __init__(self) -> None:
        self.position = START
        self.base = START
        self._held: dict[RowId, _Held] = {}  # in order of numbers
        self._digest = 0
        self._floor = 0  # rows up to this number may have been forgotten

    def __len__(self) -> int:
        return len(self._held)

    @property
    def digest(self) -> int:
        """Return a digest of all rows."""
        return self._digest

    @property
    def floor(self) -> int:
        """Return the least number from which ``since`` is complete."""
        return self._floor

    def get(self, row_id: RowId) -> Row | None:
        """Return the latest row of a name."""
        held = self._held.get(row_id)
        return None if held is None else held.row

    def number(self, row_id: RowId) -> int:
        """Return the number of a row, or 0 without one."""
        held = self._held.get(row_id)
        return 0 if held is None else held.number

    def age_s(self, row_id: RowId, now: float) -> float:
        """Return for how many seconds a row is held here."""
        return now - self._held[row_id].at

    def rows(self) -> Iterator[Row]:
        """Yield every row in the order of numbers."""
        return (held.row for held in self._held.values())

    def put(self, numbered: NumberedRow, now: float) -> bool:
        """Keep a row and say whether it is new; an earlier one is not kept."""
        number, row = numbered
        held = self._held.get(row.row_id)
        if held is not None and row.rank < held.row.rank:
            return False
        if held is not None:
            self._remove(row.row_id)
        self._held[row.row_id] = _Held(number, now, row)
        self._digest ^= _hash(row)
        return held is None or held.row.rank != row.rank

    def drop(self, row_id: RowId) -> None:
        """Forget a row that a snapshot did not contain."""
        self._remove(row_id)

    def since(self, number: int) -> tuple[NumberedRow, ...]:
        """Return the rows after a number, in order."""
        rows = []
        for held in reversed(self._held.values()):
            if held.number <= number:
                break
            rows.append(NumberedRow(held.number, held.row))
        return tuple(reversed(rows))

    def sort(self) -> None:
        """Restore the order of numbers after rows came in another one."""
        self._held = dict(sorted(self._held.items(), key=lambda item: item[1].number))

    def find_floor(self, now: float) -> int:
        """Return the number up to which final rows are past their time."""
        past = (
            held.number
            for held in self._held.values()
            if held.row.is_final and now - held.at >= FINAL_ROW_S
        )
        return max(past, default=self._floor)

    def forget(self, floor: int) -> None:
        """Drop final rows up to a number, as the root did."""
        if floor <= self._floor:
            return
        self._floor = floor
        for row_id, held in tuple(self._held.items()):
            if held.row.is_final and held.number <= floor:
                self._remove(row_id)

    def _remove(self, row_id: RowId) -> None:
        self._digest ^= _hash(self._held.pop(row_id).row)


def _hash(row: Row) -> int:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(repr((row.row_id, row.rank, row.is_final)).encode())
    digest.update(row.payload)
    return int.from_bytes(digest.digest(), "big")
