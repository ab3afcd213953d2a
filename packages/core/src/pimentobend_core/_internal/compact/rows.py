"""Define a table of rows that are found by their key."""

import abc
import sys
from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from pimentobend_core._internal.exceptions import CoreError

Row = TypeVar("Row", bound=NamedTuple)


class RowError(CoreError):
    """Report a row whose values do not fit the table's columns."""


class Rows(abc.ABC, Generic[Row]):
    """Hold rows, at most one a key."""

    @property
    @abc.abstractmethod
    def footprint_bytes(self) -> int:
        """Return the bytes that the table's containers and rows take."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of rows."""

    @abc.abstractmethod
    def get(self, key: str) -> Row | None:
        """Return the row of a key."""

    @abc.abstractmethod
    def put(self, row: Row) -> None:
        """Add a row, or replace that of its key; raise RowError if it can't fit."""

    @abc.abstractmethod
    def remove(self, key: str) -> bool:
        """Remove a key's row and say whether there was one."""

    @abc.abstractmethod
    def rows(self) -> Iterator[Row]:
        """Yield every row, in no stated order; the table must not change meanwhile."""

    def __contains__(self, key: str) -> bool:
        return self.get(key) is not None


class DictRows(Rows[Row]):
    """Hold the rows as objects in a dictionary."""

    def __init__(self, key_of: Callable[[Row], str]) -> None:
        self._key_of = key_of
        self._rows: dict[str, Row] = {}

    @property
    def footprint_bytes(self) -> int:
        """Return the bytes of the dictionary, its rows and the rows' values."""
        seen: dict[int, int] = {}
        for row in self._rows.values():
            seen[id(row)] = sys.getsizeof(row)
            for value in row:
                seen[id(value)] = sys.getsizeof(value)
        return sys.getsizeof(self._rows) + sum(seen.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: str) -> Row | None:
        """Return the row of a key."""
        return self._rows.get(key)

    def put(self, row: Row) -> None:
        """Add a row, or replace that of its key."""
        self._rows[self._key_of(row)] = row

    def remove(self, key: str) -> bool:
        """Remove a key's row and say whether there was one."""
        return self._rows.pop(key, None) is not None

    def rows(self) -> Iterator[Row]:
        """Yield every row, in no stated order."""
        yield from self._rows.values()
