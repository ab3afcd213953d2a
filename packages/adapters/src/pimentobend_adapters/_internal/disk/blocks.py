"""Frame what is synced together, so that damage can be told from a torn end."""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_adapters._internal.disk.exceptions import CorruptDiskError

_MARKER = b"PBK1"
_HEADER = struct.Struct("<4sQII")  # marker, sequence, payload's length and checksum
_CHECKSUM = struct.Struct("<I")  # of the header
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


class Block(NamedTuple):
    """Hold the bytes of one sync and the offset at which they end."""

    sequence: int
    payload: bytes
    end: int


class _Header(NamedTuple):
    """Hold a block's header that passed its checksum."""

    sequence: int
    length_bytes: int
    checksum: int


def encode_block(sequence: int, payload: bytes) -> bytes:
    """Return a block as it is stored."""
    header = _HEADER.pack(_MARKER, sequence, len(payload), zlib.crc32(payload))
    return header + _CHECKSUM.pack(zlib.crc32(header)) + payload


def read_blocks(data: bytes) -> Iterator[Block]:
    """Yield the blocks up to a torn end.

    Raises ``CorruptDiskError`` where a whole block stands behind a damaged
    one: a block is written only after the one before it was synced.
    """
    offset = 0
    sequence = 1
    while offset < len(data):
        block = _read_block(data, offset)
        if block is None or block.sequence != sequence:
            _check_torn(data, offset)
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


def _check_torn(data: bytes, damaged_at: int) -> None:
    header = _read_header(data, damaged_at)
    begin = damaged_at + 1
    if header is not None:
        begin = damaged_at + HEADER_BYTES + header.length_bytes
    found = data.find(_MARKER, begin)
    while found >= 0:
        if _read_block(data, found) is not None:
            raise CorruptDiskError(
                "a stored block is damaged and a whole one follows it",
                context=f"damaged at byte {damaged_at}, whole at byte {found}",
                hint="give this replica up and replace it by one with a new id",
            )
        found = data.find(_MARKER, found + 1)
