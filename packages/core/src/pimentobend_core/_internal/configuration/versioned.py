"""The tables of one version, and the delta from it to the next one.

A row is one route or one pool.
"""

import hashlib
from typing import TypeVar

import msgspec

from pimentobend_core._internal.compact.routes import CompactRoutes
from pimentobend_core._internal.compact.rows import DictRows
from pimentobend_core._internal.compact.rows import Rows
from pimentobend_core._internal.configuration.exceptions import ConfigurationError
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

DIGEST_BYTES = 16
_MODULUS = 1 << (8 * DIGEST_BYTES)
_Row = TypeVar("_Row", Route, Pool)
_ENCODER = msgspec.msgpack.Encoder()


class VersionedTables:
    """Rows of one version, with a digest that is updated incrementally.

    The digest is the sum of the row hashes, so that it does not depend on the
    order in which rows were applied.
    """

    def __init__(self) -> None:
        self._version = FIRST_VERSION
        self._routes: Rows[Route] = CompactRoutes()
        self._pools: Rows[Pool] = DictRows(lambda pool: pool.name)
        self._limits: ClientLimits | None = None
        self._label = 0
        self._digest_sum = 0

    @property
    def label(self) -> int:
        """Return the operators' number for the version, 0 without one."""
        return self._label

    @property
    def limits(self) -> ClientLimits | None:
        """Return the limits on callers, or None if the operators set none."""
        return self._limits

    @property
    def version(self) -> Version:
        """Return the version of the rows."""
        return self._version

    @property
    def digest(self) -> bytes:
        """Return a digest of rows, limits and label, independent of row order."""
        if self._limits is None and not self._label:
            return self._digest_sum.to_bytes(DIGEST_BYTES, "little")
        total = (
            self._digest_sum + _hash_values((self._limits, self._label))
        ) % _MODULUS
        return total.to_bytes(DIGEST_BYTES, "little")

    def routes(self) -> tuple[Route, ...]:
        """Return the routes, sorted by name."""
        return tuple(sorted(self._routes.rows()))

    def pools(self) -> tuple[Pool, ...]:
        """Return the pools, sorted by name."""
        return tuple(sorted(self._pools.rows()))

    def whole(self) -> WholeTables:
        """Return the complete tables."""
        return WholeTables(
            self._version,
            self.digest,
            self.routes(),
            self.pools(),
            self._limits,
            self._label,
        )

    def diff(self, routes: tuple[Route, ...], pools: tuple[Pool, ...]) -> TablesDelta:
        """Return the delta from the current rows to these."""
        return TablesDelta(
            self._version,
            *_diff_rows(self._routes, routes),
            *_diff_rows(self._pools, pools),
            self._limits,
            self._label,
        )

    def has_pool(self, name: str) -> bool:
        """Return whether a pool of this name exists."""
        return name in self._pools

    def check(self, delta: TablesDelta) -> None:
        """Raise RowError if the tables cannot hold the rows of a delta."""
        for route in delta.routes:
            self._routes.check(route)
        for pool in delta.pools:
            self._pools.check(pool)

    def apply(self, delta: TablesDelta, version: Version) -> None:
        """Apply a delta.

        Raises ConfigurationError if its base is another version and RowError if the
        tables cannot hold its rows; the tables are then as they were.
        """
        if delta.base != self._version:
            raise ConfigurationError(
                "delta is not based on the version in force",
                context=f"base {delta.base}, in force {self._version}",
            )
        self.check(delta)
        for route_name in delta.removed_routes:
            self._remove(self._routes, route_name)
        for route in delta.routes:
            self._put(self._routes, route)
        for pool_name in delta.removed_pools:
            self._remove(self._pools, pool_name)
        for pool in delta.pools:
            self._put(self._pools, pool)
        self._limits = delta.limits
        self._label = delta.label
        self._version = version

    def replace(self, whole: WholeTables) -> None:
        """Replace all rows; raise ConfigurationError if the digest does not match."""
        self._routes = CompactRoutes()
        self._pools = DictRows(lambda pool: pool.name)
        self._digest_sum = 0
        for route in whole.routes:
            self._put(self._routes, route)
        for pool in whole.pools:
            self._put(self._pools, pool)
        self._limits = whole.limits
        self._label = whole.label
        self._version = whole.version
        if self.digest != whole.digest:
            raise ConfigurationError(
                "tables do not match their digest",
                context=f"version {whole.version}, digest {self.digest.hex()},"
                f" expected {whole.digest.hex()}",
            )

    def _put(self, rows: Rows[_Row], row: _Row) -> None:
        replaced = rows.get(row.name)
        if replaced is not None:
            self._digest_sum -= _hash(replaced)
        rows.put(row)
        self._digest_sum = (self._digest_sum + _hash(row)) % _MODULUS

    def _remove(self, rows: Rows[_Row], name: str) -> None:
        row = rows.get(name)
        if row is None:
            return
        self._digest_sum = (self._digest_sum - _hash(row)) % _MODULUS
        rows.remove(name)


def _diff_rows(
    rows: Rows[_Row], wanted: tuple[_Row, ...]
) -> tuple[tuple[_Row, ...], tuple[str, ...]]:
    changed = tuple(row for row in wanted if rows.get(row.name) != row)
    names = {row.name for row in wanted}
    removed = (row.name for row in rows.rows() if row.name not in names)
    return changed, tuple(sorted(removed))


def _hash(row: Route | Pool) -> int:
    """Hash a row with the name of its class, so that routes and pools differ."""
    return _hash_values((type(row).__name__, row))


def _hash_values(values: tuple[object, ...]) -> int:
    content = _ENCODER.encode(values)
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "little")
