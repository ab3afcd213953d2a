"""Hash table that stores its records in one byte array."""

import sys
import zlib
from array import array
from collections.abc import Iterator
from struct import Struct

MAX_KEY_BYTES = 0xFFFF
_HEADER = Struct("<HI")  # length of the key, length of the record
_EMPTY = 0
_TOMBSTONE = 1
_FIRST_OFFSET = 2  # lower values in the index are the two markers above
_MIN_SLOTS = 8
_MAX_HEAP_BYTES = 0xFFFF_FFFF
_MIN_DEAD_BYTES = 4096  # the array is not rewritten for fewer dead bytes


class RecordHeap:
    """Map byte keys to byte records without a Python object for each.

    Records are appended to one byte array. An open-addressing index with linear
    probing holds their offsets. Replaced and removed records stay in the array
    as dead bytes until there are enough of them to rewrite it.
    """

    def __init__(self) -> None:
        self._heap = bytearray(_FIRST_OFFSET)
        self._dead_bytes = 0  # of replaced and removed records
        self._index = array("I", [_EMPTY]) * _MIN_SLOTS
        self._used_slots = 0  # slots with an offset or a tombstone
        self._count = 0

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the byte array and the index, in bytes."""
        return sys.getsizeof(self._heap) + sys.getsizeof(self._index)

    def __len__(self) -> int:
        return self._count

    def get(self, key: bytes) -> bytes | None:
        """Return the record of a key, or None."""
        slot = self._find(key)
        return None if slot is None else self._record(self._index[slot])

    def put(self, key: bytes, record: bytes) -> bytes | None:
        """Store the record of a key and return the one that it replaces.

        Raises OverflowError if the key is too long or the byte array is full.
        """
        size = _HEADER.size + len(key) + len(record)
        if len(key) > MAX_KEY_BYTES or len(self._heap) + size > _MAX_HEAP_BYTES:
            raise OverflowError(
                f"no room for a record of {size} bytes with a key of {len(key)} bytes"
            )
        slot = self._find(key)
        replaced = None
        if slot is None:
            self._insert(key, self._append(key, record))
            self._count += 1
        else:
            replaced = self._record(self._index[slot])
            self._dead_bytes += _HEADER.size + len(key) + len(replaced)
            self._index[slot] = self._append(key, record)
        self._reclaim()
        return replaced

    def remove(self, key: bytes) -> bytes | None:
        """Remove and return the record of a key, or return None."""
        slot = self._find(key)
        if slot is None:
            return None
        removed = self._record(self._index[slot])
        self._dead_bytes += _HEADER.size + len(key) + len(removed)
        self._index[slot] = _TOMBSTONE
        self._count -= 1
        self._reclaim()
        return removed

    def items(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield every key and record, in the order in which they were stored."""
        heap = self._heap
        for offset in sorted(self._index):
            if offset < _FIRST_OFFSET:
                continue
            key_bytes, record_bytes = _HEADER.unpack_from(heap, offset)
            key_start = offset + _HEADER.size
            record_start = key_start + key_bytes
            record_end = record_start + record_bytes
            yield (
                bytes(heap[key_start:record_start]),
                bytes(heap[record_start:record_end]),
            )

    def _append(self, key: bytes, record: bytes) -> int:
        offset = len(self._heap)
        self._heap += _HEADER.pack(len(key), len(record))
        self._heap += key
        self._heap += record
        return offset

    def _entry_bytes(self, offset: int) -> int:
        key_bytes, record_bytes = _HEADER.unpack_from(self._heap, offset)
        return _HEADER.size + int(key_bytes) + int(record_bytes)

    def _key(self, offset: int) -> bytes:
        key_bytes, _ = _HEADER.unpack_from(self._heap, offset)
        start = offset + _HEADER.size
        return bytes(self._heap[start : start + key_bytes])

    def _has_key(self, offset: int, key: bytes) -> bool:
        key_bytes, _ = _HEADER.unpack_from(self._heap, offset)
        return key_bytes == len(key) and self._heap.startswith(
            key, offset + _HEADER.size
        )

    def _record(self, offset: int) -> bytes:
        key_bytes, record_bytes = _HEADER.unpack_from(self._heap, offset)
        start = offset + _HEADER.size + key_bytes
        return bytes(self._heap[start : start + record_bytes])

    def _find(self, key: bytes) -> int | None:
        mask = len(self._index) - 1
        slot = zlib.crc32(key) & mask
        while (offset := self._index[slot]) != _EMPTY:
            if offset != _TOMBSTONE and self._has_key(offset, key):
                return slot
            slot = (slot + 1) & mask
        return None

    def _insert(self, key: bytes, offset: int) -> None:
        mask = len(self._index) - 1
        slot = zlib.crc32(key) & mask
        while self._index[slot] != _EMPTY:
            slot = (slot + 1) & mask
        self._index[slot] = offset
        self._used_slots += 1

    def _reclaim(self) -> None:
        if self._dead_bytes > len(self._heap) // 4 + _MIN_DEAD_BYTES:
            self._compact_heap()
        elif self._used_slots * 4 > len(self._index) * 3:
            self._rebuild_live_index()

    def _compact_heap(self) -> None:
        live = [offset for offset in self._index if offset >= _FIRST_OFFSET]
        heap = bytearray(_FIRST_OFFSET)
        for offset in sorted(live):
            heap += self._heap[offset : offset + self._entry_bytes(offset)]
        self._heap = heap
        self._dead_bytes = 0
        self._rebuild_index(self._scan_offsets())

    def _scan_offsets(self) -> Iterator[int]:
        offset = _FIRST_OFFSET
        while offset < len(self._heap):
            yield offset
            offset += self._entry_bytes(offset)

    def _rebuild_live_index(self) -> None:
        self._rebuild_index(o for o in self._index if o >= _FIRST_OFFSET)

    def _rebuild_index(self, offsets: Iterator[int]) -> None:
        live = list(offsets)
        slots = _MIN_SLOTS
        while slots * 5 < (self._count + 1) * 8:
            slots *= 2
        self._index = array("I", [_EMPTY]) * slots
        self._used_slots = 0
        for offset in live:
            self._insert(self._key(offset), offset)
