"""Table that stores backend servers as packed bytes."""

from struct import Struct

from pimentobend_core._internal.compact.interner import Interner
from pimentobend_core._internal.compact.packed import PackedRows
from pimentobend_core._internal.compact.packed import decode_text
from pimentobend_core._internal.compact.packed import encode_text
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

_NUMBERS = Struct("<HIQ")  # port, slots, incarnation
_SHARED = Struct("<IIIB?")  # numbers of service, data centre, region, state; is_cold
_FIXED = Struct("<IIIB?HIQ")  # _SHARED followed by _NUMBERS
_STATES = tuple(ServerState)


class CompactServers(PackedRows[Server]):
    """Servers by id; services, data centres and regions are stored once each."""

    def __init__(self) -> None:
        super().__init__()
        self._services: Interner[str] = Interner()
        self._places: Interner[str] = Interner()

    def _key_of(self, row: Server) -> str:
        return row.server_id

    def _check_numbers(self, row: Server) -> None:
        _NUMBERS.pack(row.port, row.slots, row.incarnation)

    def _pack(self, row: Server) -> bytes:
        shared = _SHARED.pack(
            self._services.acquire(row.service),
            self._places.acquire(row.data_centre),
            self._places.acquire(row.region),
            _STATES.index(row.state),
            row.is_cold,
        )
        numbers = _NUMBERS.pack(row.port, row.slots, row.incarnation)
        return shared + numbers + encode_text(row.host)

    def _unpack(self, key: str, record: bytes) -> Server:
        service, data_centre, region, state, is_cold, *numbers = _FIXED.unpack_from(
            record
        )
        port, slots, incarnation = numbers
        place = self._places.value
        return Server(
            key,
            self._services.value(service),
            decode_text(record[_FIXED.size :]),
            port,
            slots,
            place(data_centre),
            place(region),
            _STATES[state],
            incarnation,
            is_cold,
        )

    def _release(self, record: bytes) -> None:
        service, data_centre, region, *_ = _SHARED.unpack_from(record)
        self._services.release(service)
        self._places.release(data_centre)
        self._places.release(region)

    def _shared_bytes(self) -> int:
        return self._services.footprint_bytes + self._places.footprint_bytes
