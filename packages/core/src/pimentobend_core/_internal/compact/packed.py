"""Base class of the tables that store each row as a record of bytes."""

import abc
import struct
from collections.abc import Iterator

from pimentobend_core._internal.compact.heap import MAX_KEY_BYTES
from pimentobend_core._internal.compact.heap import RecordHeap
from pimentobend_core._internal.compact.rows import Row
from pimentobend_core._internal.compact.rows import RowError
from pimentobend_core._internal.compact.rows import Rows


class PackedRows(Rows[Row]):
    """Store each row as bytes, and create the row object when it is read."""

    def __init__(self) -> None:
        self._heap = RecordHeap()

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the records, index and shared values, in bytes."""
        return self._heap.footprint_bytes + self._shared_bytes()

    def __len__(self) -> int:
        return len(self._heap)

    def __contains__(self, key: str) -> bool:
        return self._heap.get(encode_text(key)) is not None

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        record = self._heap.get(encode_text(key))
        return None if record is None else self._unpack(key, record)

    def check(self, row: Row) -> None:
        """Raise RowError if the table cannot hold a row."""
        text = self._key_of(row)
        key_bytes = len(encode_text(text))
        if key_bytes > MAX_KEY_BYTES:
            raise RowError(
                f"key is longer than {MAX_KEY_BYTES} bytes",
                context=f"{key_bytes} bytes",
            )
        try:
            self._check_numbers(row)
        except struct.error as error:
            raise RowError(
                "number does not fit its column", context=repr(text), hint=str(error)
            ) from error

    def put(self, row: Row) -> None:
        """Add a row, or replace the one with its key; RowError if it can't fit."""
        self.check(row)
        text = self._key_of(row)
        key = encode_text(text)
        record = self._pack(row)
        try:
            replaced = self._heap.put(key, record)
        except OverflowError as error:
            self._release(record)
            raise RowError("table is full", context=repr(text)) from error
        if replaced is not None:
            self._release(replaced)

    def remove(self, key: str) -> bool:
        """Remove the row of a key and return whether there was one."""
        record = self._heap.remove(encode_text(key))
        if record is None:
            return False
        self._release(record)
        return True

    def rows(self) -> Iterator[Row]:
        """Yield every row, in no particular order."""
        for key, record in self._heap.items():
            yield self._unpack(decode_text(key), record)

    @abc.abstractmethod
    def _key_of(self, row: Row) -> str:
        """Return the key of a row."""

    @abc.abstractmethod
    def _check_numbers(self, row: Row) -> None:
        """Raise struct.error when a number of the row does not fit its column."""

    @abc.abstractmethod
    def _pack(self, row: Row) -> bytes:
        """Return the record of a row without its key, and acquire its shared values."""

    @abc.abstractmethod
    def _unpack(self, key: str, record: bytes) -> Row:
        """Return the row of a key and its record."""

    @abc.abstractmethod
    def _release(self, record: bytes) -> None:
        """Release the shared values of a record."""

    @abc.abstractmethod
    def _shared_bytes(self) -> int:
        """Return the size of the shared values, in bytes."""


def encode_text(text: str) -> bytes:
    """Encode any string as UTF-8, including lone surrogates."""
    return text.encode("utf-8", "surrogatepass")


def decode_text(encoded: bytes) -> str:
    """Decode the bytes that ``encode_text`` returned."""
    return encoded.decode("utf-8", "surrogatepass")
