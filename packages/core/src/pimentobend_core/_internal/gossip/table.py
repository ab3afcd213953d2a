"""Hold the newest row of each daemon."""

import hashlib
from collections.abc import Iterable
from collections.abc import Iterator

from pimentobend_core._internal.gossip.rows import Life
from pimentobend_core._internal.gossip.rows import PeerRow

DIGEST_BYTES = 7  # a linear checksum would cancel out between similar rows
MAX_ROWS = 4096  # twice the fleet that the system is designed for


class PeerTable:
    """Own the rows by address, and a digest that is kept up row by row."""

    def __init__(self) -> None:
        self._rows: dict[str, PeerRow] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Return a digest of all rows' addresses and lives."""
        return self._digest

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[PeerRow]:
        return iter(self._rows.values())

    def get(self, address: str) -> PeerRow | None:
        """Return a daemon's row."""
        return self._rows.get(address)

    def put(self, row: PeerRow) -> bool:
        """Take a row unless it is no newer than the one known; say whether."""
        known = self._rows.get(row.address)
        if known is None and len(self._rows) >= MAX_ROWS:
            return False
        if known is not None and row.life <= known.life:
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(row)
        self._rows[row.address] = row
        return True

    def remove(self, address: str) -> None:
        """Forget a daemon."""
        row = self._rows.pop(address, None)
        if row is not None:
            self._digest ^= _hash(row)

    def lives(self) -> tuple[tuple[str, Life], ...]:
        """Return the life of each row."""
        return tuple((row.address, row.life) for row in self._rows.values())

    def compare(
        self, lives: Iterable[tuple[str, Life]]
    ) -> tuple[tuple[PeerRow, ...], tuple[str, ...]]:
        """Return the rows that are newer here and the addresses that are older."""
        given = dict(lives)
        newer = tuple(
            row
            for row in self._rows.values()
            if row.address not in given or row.life > given[row.address]
        )
        older = tuple(
            address
            for address, life in given.items()
            if address not in self._rows or self._rows[address].life < life
        )
        return newer, older


def _hash(row: PeerRow) -> int:
    content = f"{row.address}/{row.life.incarnation}/{row.life.revision}".encode()
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "little")
