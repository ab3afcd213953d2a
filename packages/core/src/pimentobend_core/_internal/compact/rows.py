"""Tables that find a row by its key; a row is a named tuple, such as a route."""

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
    """A row does not fit the table or the columns that it stores."""


class Rows(abc.ABC, Generic[Row]):
    """A table with at most one row per key."""

    @property
    @abc.abstractmethod
    def footprint_bytes(self) -> int:
        """Return the size of the table's containers and rows, in bytes."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of rows."""

    @abc.abstractmethod
    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""

    @abc.abstractmethod
    def check(self, row: Row) -> None:
        """Raise RowError if the table cannot hold a row."""

    @abc.abstractmethod
    def put(self, row: Row) -> None:
        """Add a row, or replace the one with its key; RowError if it can't fit."""

    @abc.abstractmethod
    def remove(self, key: str) -> bool:
        """Remove the row of a key and return whether there was one."""

    @abc.abstractmethod
    def rows(self) -> Iterator[Row]:
        """Yield every row in no particular order; don't modify the table meanwhile."""

    def __contains__(self, key: str) -> bool:
        return self.get(key) is not None


class DictRows(Rows[Row]):
    """A table that stores row objects in a dictionary."""

    def __init__(self, key_of: Callable[[Row], str]) -> None:
        self._key_of = key_of
        self._rows: dict[str, Row] = {}

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the dictionary, rows and values, in bytes."""
        seen: dict[int, int] = {}
        for row in self._rows.values():
            seen[id(row)] = sys.getsizeof(row)
            for value in row:
                seen[id(value)] = sys.getsizeof(value)
        return sys.getsizeof(self._rows) + sum(seen.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        return self._rows.get(key)

    def check(self, row: Row) -> None:
        """Do nothing, as a dictionary holds any row."""

    def put(self, row: Row) -> None:
        """Add a row, or replace the one with its key."""
        self._rows[self._key_of(row)] = row

    def remove(self, key: str) -> bool:
        """Remove the row of a key and return whether there was one."""
        return self._rows.pop(key, None) is not None

    def rows(self) -> Iterator[Row]:
        """Yield every row, in no particular order."""
        yield from self._rows.values()
