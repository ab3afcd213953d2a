"""Encode the records that are written with one sync as a block with checksums.

A write is torn if only a part of its bytes reached the disk. The checksums tell a
torn write at the end of the log from damage before it.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_adapters._internal.disk.exceptions import CorruptDiskError

_MARKER = b"PBK1"
_HEADER = struct.Struct("<4sQII")  # marker, sequence, payload length, payload CRC
_CHECKSUM = struct.Struct("<I")  # CRC of the header
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


class Block(NamedTuple):
    """The data of one sync."""

    sequence: int
    payload: bytes
    end: int  # offset in the file after the last byte of the block


class _Header(NamedTuple):
    """Block header whose checksum was correct."""

    sequence: int
    length_bytes: int
    checksum: int


def encode_block(sequence: int, payload: bytes) -> bytes:
    """Return the stored form of a block."""
    header = _HEADER.pack(_MARKER, sequence, len(payload), zlib.crc32(payload))
    return header + _CHECKSUM.pack(zlib.crc32(header)) + payload


def read_blocks(data: bytes) -> Iterator[Block]:
    """Yield the blocks up to a torn write at the end.

    Raises ``CorruptDiskError`` if an intact block follows a damaged one: a
    block is written only after the one before it was synced, so this is not
    a torn write.
    """
    offset = 0
    sequence = 1
    while offset < len(data):
        block = _read_block(data, offset)
        if block is None or block.sequence != sequence:
            _check_torn_end(data, offset)
            return
        yield block
        offset = block.end
        sequence += 1


def _read_header(data: bytes, offset: int) -> _Header | None:
    raw = data[offset : offset + _HEADER.size]
    check = data[offset + _HEADER.size : offset + HEADER_BYTES]
    if len(check) < _CHECKSUM.size or check != _CHECKSUM.pack(zlib.crc32(raw)):
        return None
    marker, sequence, length_bytes, checksum = _HEADER.unpack(raw)
    if marker != _MARKER:
        return None
    return _Header(sequence, length_bytes, checksum)


def _read_block(data: bytes, offset: int) -> Block | None:
    header = _read_header(data, offset)
    if header is None:
        return None
    start = offset + HEADER_BYTES
    end = start + header.length_bytes
    payload = data[start:end]
    if len(payload) < header.length_bytes or zlib.crc32(payload) != header.checksum:
        return None
    return Block(header.sequence, payload, end)


def _check_torn_end(data: bytes, damaged_at: int) -> None:
    """Raise ``CorruptDiskError`` if an intact block follows the damaged one."""
    header = _read_header(data, damaged_at)
    search_from = damaged_at + 1
    if header is not None:
        search_from = damaged_at + HEADER_BYTES + header.length_bytes
    found = data.find(_MARKER, search_from)
    while found >= 0:
        if _read_block(data, found) is not None:
            raise CorruptDiskError(
                "a stored block is damaged, but an intact block follows it",
                context=f"damaged at byte {damaged_at}, intact at byte {found}",
                hint="remove this replica and add one with a new id",
            )
        found = data.find(_MARKER, found + 1)
