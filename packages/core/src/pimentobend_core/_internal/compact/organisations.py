"""Immutable table of organisations, stored as packed bytes."""

import zlib
from collections import defaultdict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from pimentobend_core._internal.compact.buckets import BUCKETS
from pimentobend_core._internal.compact.buckets import Buckets
from pimentobend_core._internal.compact.key_index import KeyEntry
from pimentobend_core._internal.compact.key_index import KeyIndex
from pimentobend_core._internal.compact.packed import encode_text
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.utils.api_keys import digest_key

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Organisation, ...])


class SharedKey(NamedTuple):
    """The names of two organisations that have a key in common."""

    first: str
    second: str


class CompactOrganisations(Collection[Organisation]):
    """Organisations by name and by the digests of their keys.

    A change makes a new table, which shares with the earlier one all that the change
    leaves as it was. So the table in force can be passed on between tasks, without a
    copy or an object for each organisation.
    """

    def __init__(
        self,
        rows: Buckets | None = None,
        keys: KeyIndex | None = None,
        count: int = 0,
    ) -> None:
        self._rows = rows or Buckets()
        self._keys = keys or KeyIndex()
        self._count = count

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the rows and of the index, in bytes."""
        return self._rows.footprint_bytes + self._keys.footprint_bytes

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Organisation]:
        return (row for bucket in self._rows for row in _DECODER.decode(bucket))

    def __contains__(self, row: object) -> bool:
        return isinstance(row, Organisation) and self.get(row.name) == row

    def get(self, name: str) -> Organisation | None:
        """Return the organisation of a name, or None."""
        return next(
            (row for row in self._read(_number(name)) if row.name == name), None
        )

    def find(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key, by the key's digest, or None."""
        position = self._keys.find(key_digest)
        if position is None:
            return None
        rows = self._read(position)
        return next((row for row in rows if key_digest in _digest_keys(row)), None)

    def find_shared_key(
        self, put: Iterable[Organisation], removed: Iterable[str]
    ) -> SharedKey | None:
        """Return two organisations that would share a key after a change, or None."""
        changed = {row.name: row for row in put}
        replaced = {*changed, *removed}
        holders: dict[bytes, str] = {}
        for row in changed.values():
            for key_digest in _digest_keys(row):
                present = self.find(key_digest)
                if present is not None and present.name not in replaced:
                    return SharedKey(present.name, row.name)
                holder = holders.setdefault(key_digest, row.name)
                if holder != row.name:
                    return SharedKey(holder, row.name)
        return None

    def change(
        self, put: Iterable[Organisation], removed: Iterable[str] = ()
    ) -> "CompactOrganisations":
        """Return a table without some organisations, then with others put into it.

        No two organisations may then share a key.
        """
        changes: defaultdict[int, dict[str, Organisation | None]] = defaultdict(dict)
        for name in removed:
            changes[_number(name)][name] = None
        for row in put:
            changes[_number(row.name)][row.name] = row
        old_digests: list[bytes] = []
        entries: list[KeyEntry] = []
        buckets: dict[int, bytes] = {}
        count = self._count
        for number, changed in changes.items():
            rows = {row.name: row for row in self._read(number)}
            count -= len(rows)
            for name, new in changed.items():
                old = rows.pop(name, None)
                old_digests += () if old is None else _digest_keys(old)
                if new is not None:
                    rows[name] = new
                    entries += (KeyEntry(each, number) for each in _digest_keys(new))
            count += len(rows)
            buckets[number] = _ENCODER.encode(tuple(rows.values())) if rows else b""
        return CompactOrganisations(
            self._rows.replace(buckets),
            self._keys.replace(old_digests, entries),
            count,
        )

    def _read(self, number: int) -> tuple[Organisation, ...]:
        bucket = self._rows[number]
        return _DECODER.decode(bucket) if bucket else ()


def pack_organisations(rows: Collection[Organisation]) -> CompactOrganisations:
    """Return a table of organisations, which may be one already."""
    if isinstance(rows, CompactOrganisations):
        return rows
    return CompactOrganisations().change(rows)


def _digest_keys(row: Organisation) -> list[bytes]:
    return [digest_key(key) for key in row.api_keys]


def _number(name: str) -> int:
    return zlib.crc32(encode_text(name)) % BUCKETS
