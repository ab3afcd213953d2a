"""Immutable index that finds the position of an organisation by a digest of its key."""

import bisect
from collections import defaultdict
from collections.abc import Iterable
from struct import Struct
from typing import NamedTuple

from pimentobend_core._internal.compact.buckets import BUCKETS
from pimentobend_core._internal.compact.buckets import Buckets
from pimentobend_core._internal.utils.api_keys import DIGEST_BYTES

_POSITION = Struct(">H")
_ENTRY_BYTES = DIGEST_BYTES + _POSITION.size


class KeyEntry(NamedTuple):
    """The digest of a key, and the bucket of the organisation that holds it."""

    key_digest: bytes
    position: int  # below 65,536


class KeyIndex:
    """Entries of 18 bytes in buckets, each of which is sorted by digest."""

    def __init__(self, buckets: Buckets | None = None) -> None:
        self._buckets = buckets or Buckets()

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the index, in bytes."""
        return self._buckets.footprint_bytes

    def find(self, key_digest: bytes) -> int | None:
        """Return the position of the organisation that holds a key, or None."""
        if not key_digest:
            return None
        bucket = self._buckets[_number(key_digest)]
        place = _search(bucket, key_digest)
        if bucket[place : place + DIGEST_BYTES] != key_digest:
            return None
        position: int = _POSITION.unpack_from(bucket, place + DIGEST_BYTES)[0]
        return position

    def replace(
        self, removed: Iterable[bytes], added: Iterable[KeyEntry]
    ) -> "KeyIndex":
        """Return an index without some digests and then with further entries."""
        changes: defaultdict[int, dict[bytes, bytes]] = defaultdict(dict)
        for key_digest in removed:
            changes[_number(key_digest)][key_digest] = b""
        for entry in added:
            packed = entry.key_digest + _POSITION.pack(entry.position)
            changes[_number(entry.key_digest)][entry.key_digest] = packed
        return KeyIndex(
            self._buckets.replace(
                {
                    number: _change(self._buckets[number], entries)
                    for number, entries in changes.items()
                }
            )
        )


def _number(key_digest: bytes) -> int:
    return int.from_bytes(key_digest[:2], "big") % BUCKETS


def _search(bucket: bytes, key_digest: bytes) -> int:
    """Return the place of a digest, or the one at which it would be inserted."""
    count = len(bucket) // _ENTRY_BYTES
    return _ENTRY_BYTES * bisect.bisect_left(
        range(count),
        key_digest,
        key=lambda entry: bucket[entry * _ENTRY_BYTES :][:DIGEST_BYTES],
    )


def _change(bucket: bytes, changes: dict[bytes, bytes]) -> bytes:
    entries = {
        bucket[place : place + DIGEST_BYTES]: bucket[place : place + _ENTRY_BYTES]
        for place in range(0, len(bucket), _ENTRY_BYTES)
    }
    entries.update(changes)
    return b"".join(entries[each] for each in sorted(entries))
