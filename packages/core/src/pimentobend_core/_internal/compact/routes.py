"""Table that stores routes as packed bytes."""

from struct import Struct
from typing import NamedTuple

from pimentobend_core._internal.compact.interner import Interner
from pimentobend_core._internal.compact.packed import PackedRows
from pimentobend_core._internal.compact.packed import decode_text
from pimentobend_core._internal.compact.packed import encode_text
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Split

_NUMBERS = Struct("<I?")  # timeout in ms, repeatable
_SHARED = Struct("<IIII")  # interned numbers of host, methods, pool and rules
_FIXED = Struct("<IIIII?")  # _SHARED followed by _NUMBERS


class _Rules(NamedTuple):
    """The columns whose values many routes have in common."""

    splits: tuple[Split, ...]
    max_attempts: int
    priority: int
    target_latency_ms: int
    sent_times_s: tuple[float, ...]
    allow_anonymous: bool | None
    is_upload: bool


class CompactRoutes(PackedRows[Route]):
    """Routes by name; hosts, methods, pools and rules are stored once each."""

    def __init__(self) -> None:
        super().__init__()
        self._texts: Interner[str] = Interner()
        self._methods: Interner[tuple[str, ...]] = Interner()
        self._rules: Interner[_Rules] = Interner()

    def _key_of(self, row: Route) -> str:
        return row.name

    def _check_numbers(self, row: Route) -> None:
        _NUMBERS.pack(row.timeout_ms, row.repeatable)

    def _pack(self, row: Route) -> bytes:
        shared = _SHARED.pack(
            self._texts.acquire(row.host),
            self._methods.acquire(row.methods),
            self._texts.acquire(row.pool),
            self._rules.acquire(_Rules(*row[7:])),
        )
        numbers = _NUMBERS.pack(row.timeout_ms, row.repeatable)
        return shared + numbers + encode_text(row.path)

    def _unpack(self, key: str, record: bytes) -> Route:
        host, methods, pool, rules, timeout_ms, repeatable = _FIXED.unpack_from(record)
        value = self._texts.value
        return Route(
            key,
            value(host),
            decode_text(record[_FIXED.size :]),
            self._methods.value(methods),
            value(pool),
            repeatable,
            timeout_ms,
            *self._rules.value(rules),
        )

    def _release(self, record: bytes) -> None:
        host, methods, pool, rules = _SHARED.unpack_from(record)
        self._texts.release(host)
        self._methods.release(methods)
        self._texts.release(pool)
        self._rules.release(rules)

    def _shared_bytes(self) -> int:
        shared = (self._texts, self._methods, self._rules)
        return sum(each.footprint_bytes for each in shared)
