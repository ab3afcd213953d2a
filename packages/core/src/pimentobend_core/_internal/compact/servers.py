"""Store backend servers in packed bytes."""

from struct import Struct

from pimentobend_core._internal.compact.interner import Interner
from pimentobend_core._internal.compact.packed import PackedRows
from pimentobend_core._internal.compact.packed import decode_text
from pimentobend_core._internal.compact.packed import encode_text
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

_NUMBERS = Struct("<HIQ")  # port, slots, incarnation
_SHARED = Struct("<IIIB")  # numbers of service, data centre, region and state
_STATES = tuple(ServerState)


class CompactServers(PackedRows[Server]):
    """Hold servers by id; services, data centres and regions are shared."""

    def __init__(self) -> None:
        super().__init__()
        self._services: Interner[str] = Interner()
        self._places: Interner[str] = Interner()

    def _key_of(self, row: Server) -> str:
        return row.server_id

    def _check(self, row: Server) -> None:
        _NUMBERS.pack(row.port, row.slots, row.incarnation)

    def _pack(self, row: Server) -> bytes:
        shared = _SHARED.pack(
            self._services.acquire(row.service),
            self._places.acquire(row.data_centre),
            self._places.acquire(row.region),
            _STATES.index(row.state),
        )
        numbers = _NUMBERS.pack(row.port, row.slots, row.incarnation)
        return shared + numbers + encode_text(row.host)

    def _unpack(self, key: str, record: bytes) -> Server:
        service, data_centre, region, state = _SHARED.unpack_from(record)
        port, slots, incarnation = _NUMBERS.unpack_from(record, _SHARED.size)
        return Server(
            server_id=key,
            service=self._services.value(service),
            host=decode_text(record[_SHARED.size + _NUMBERS.size :]),
            port=port,
            slots=slots,
            data_centre=self._places.value(data_centre),
            region=self._places.value(region),
            state=_STATES[state],
            incarnation=incarnation,
        )

    def _release(self, record: bytes) -> None:
        service, data_centre, region, _ = _SHARED.unpack_from(record)
        self._services.release(service)
        self._places.release(data_centre)
        self._places.release(region)

    def _shared_bytes(self) -> int:
        return self._services.footprint_bytes + self._places.footprint_bytes
