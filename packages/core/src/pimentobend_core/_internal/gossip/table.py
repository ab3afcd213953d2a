"""Table of the newest row of each daemon."""

import hashlib
from collections.abc import Iterable
from collections.abc import Iterator

from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion

# The digest of the table is the XOR of the rows' hashes. They are cryptographic, as
# linear checksums of similar rows would cancel out.
DIGEST_BYTES = 7
MAX_ROWS = 4096  # twice the fleet that the system is designed for


class PeerTable:
    """Rows by address, with a digest that is updated with each change."""

    def __init__(self) -> None:
        self._rows: dict[str, PeerRow] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Return the digest of the addresses and versions of all rows."""
        return self._digest

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[PeerRow]:
        return iter(self._rows.values())

    def get(self, address: str) -> PeerRow | None:
        """Return the row of a daemon, or None."""
        return self._rows.get(address)

    def put(self, row: PeerRow) -> bool:
        """Store a row if it is newer than the known one; return whether it was stored.

        A new daemon's row is dropped when the table is full.
        """
        known = self._rows.get(row.address)
        if known is None and len(self._rows) >= MAX_ROWS:
            return False
        if known is not None and row.version <= known.version:
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(row)
        self._rows[row.address] = row
        return True

    def remove(self, address: str) -> None:
        """Remove the row of a daemon."""
        row = self._rows.pop(address, None)
        if row is not None:
            self._digest ^= _hash(row)

    def versions(self) -> tuple[tuple[str, RowVersion], ...]:
        """Return the address and the version of each row."""
        return tuple((row.address, row.version) for row in self._rows.values())

    def compare(
        self, versions: Iterable[tuple[str, RowVersion]]
    ) -> tuple[tuple[PeerRow, ...], tuple[str, ...]]:
        """Compare this table with the versions that another daemon listed.

        Returns the rows that are newer here or missing there, and the addresses whose
        rows are older here or missing.
        """
        given = dict(versions)
        newer = tuple(
            row
            for row in self._rows.values()
            if row.address not in given or row.version > given[row.address]
        )
        older = tuple(
            address
            for address, version in given.items()
            if address not in self._rows or self._rows[address].version < version
        )
        return newer, older


def _hash(row: PeerRow) -> int:
    content = f"{row.address}/{row.version.incarnation}/{row.version.revision}".encode()
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "little")
