"""The tables of one version, and the delta from it to the next one.

A row is one route, one pool or one organisation.
"""

import hashlib
from typing import TypeVar

import msgspec

from pimentobend_core._internal.compact.organisations import CompactOrganisations
from pimentobend_core._internal.compact.routes import CompactRoutes
from pimentobend_core._internal.compact.rows import DictRows
from pimentobend_core._internal.compact.rows import RowError
from pimentobend_core._internal.compact.rows import Rows
from pimentobend_core._internal.configuration.exceptions import ConfigurationError
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables

DIGEST_BYTES = 16
_MODULUS = 1 << (8 * DIGEST_BYTES)
_Row = TypeVar("_Row", Route, Pool)
# Columns of a route that count in digests always; the later ones count only in routes
# that use them, so that the digests of earlier versions still hold.
_FIRST_ROUTE_COLUMNS = 12
_LATER_ROUTE_DEFAULTS = (None, False)
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
        self._organisations = CompactOrganisations()
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

    @property
    def organisations(self) -> CompactOrganisations:
        """Return the organisations."""
        return self._organisations

    def in_force(self) -> Tables:
        """Return the tables in the form that requests are served by."""
        return Tables(
            *self._version,
            self.routes(),
            self.pools(),
            self._limits,
            self._label,
            self._organisations,
        )

    def whole(self) -> WholeTables:
        """Return the complete tables."""
        return WholeTables(
            self._version,
            self.digest,
            self.routes(),
            self.pools(),
            self._limits,
            self._label,
            tuple(sorted(self._organisations, key=lambda row: row.name)),
        )

    def diff(
        self,
        routes: tuple[Route, ...],
        pools: tuple[Pool, ...],
        organisations: tuple[Organisation, ...] = (),
    ) -> TablesDelta:
        """Return the delta from the current rows to these."""
        return TablesDelta(
            self._version,
            *_diff_rows(self._routes, routes),
            *_diff_rows(self._pools, pools),
            self._limits,
            self._label,
            *_diff_organisations(self._organisations, organisations),
        )

    def has_pool(self, name: str) -> bool:
        """Return whether a pool of this name exists."""
        return name in self._pools

    def check(self, delta: TablesDelta) -> None:
        """Raise RowError if the tables cannot hold the rows of a delta.

        They cannot if two organisations would then have the same API key.
        """
        for route in delta.routes:
            self._routes.check(route)
        for pool in delta.pools:
            self._pools.check(pool)
        shared = self._organisations.find_shared_key(
            delta.organisations, delta.removed_organisations
        )
        if shared is not None:
            raise RowError(
                "two organisations have the same API key",
                context=f"{shared.first!r} and {shared.second!r}",
            )

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
        self._change_organisations(delta.organisations, delta.removed_organisations)
        self._limits = delta.limits
        self._label = delta.label
        self._version = version

    def replace(self, whole: WholeTables) -> None:
        """Replace all rows; raise ConfigurationError if the digest does not match."""
        self._routes = CompactRoutes()
        self._pools = DictRows(lambda pool: pool.name)
        self._organisations = CompactOrganisations()
        self._digest_sum = 0
        for route in whole.routes:
            self._put(self._routes, route)
        for pool in whole.pools:
            self._put(self._pools, pool)
        self._change_organisations(whole.organisations, ())
        self._limits = whole.limits
        self._label = whole.label
        self._version = whole.version
        if self.digest != whole.digest:
            raise ConfigurationError(
                "tables do not match their digest",
                context=f"version {whole.version}, digest {self.digest.hex()},"
                f" expected {whole.digest.hex()}",
            )

    def _change_organisations(
        self, put: tuple[Organisation, ...], removed: tuple[str, ...]
    ) -> None:
        if not put and not removed:
            return
        changed = {row.name: row for row in put}
        for name in {*changed, *removed}:
            replaced = self._organisations.get(name)
            if replaced is not None:
                self._digest_sum -= _hash(replaced)
        self._digest_sum += sum(_hash(row) for row in changed.values())
        self._digest_sum %= _MODULUS
        self._organisations = self._organisations.change(put, removed)

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


def _diff_organisations(
    rows: CompactOrganisations, wanted: tuple[Organisation, ...]
) -> tuple[tuple[Organisation, ...], tuple[str, ...]]:
    changed = tuple(row for row in wanted if rows.get(row.name) != row)
    names = {row.name for row in wanted}
    removed = (row.name for row in rows if row.name not in names)
    return changed, tuple(sorted(removed))


def _hash(row: Route | Pool | Organisation) -> int:
    """Hash a row with the name of its class, so that tables differ."""
    values: tuple[object, ...] = row
    if isinstance(row, Route) and row[_FIRST_ROUTE_COLUMNS:] == _LATER_ROUTE_DEFAULTS:
        values = row[:_FIRST_ROUTE_COLUMNS]
    return _hash_values((type(row).__name__, values))


def _hash_values(values: tuple[object, ...]) -> int:
    content = _ENCODER.encode(values)
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "little")
