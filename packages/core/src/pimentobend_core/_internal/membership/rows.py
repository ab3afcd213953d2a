"""Convert server events to rows, and back.

A row is one entry of the data that is replicated to all instances; see
``spread.messages``.
"""

from collections.abc import Callable
from typing import Annotated
from typing import NamedTuple

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.checks import PORT_MAX
from pimentobend_core._internal.membership.checks import SLOTS_MAX
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServerEvents
from pimentobend_core._internal.membership.messages import ServerForgotten
from pimentobend_core._internal.membership.messages import ViewInput
from pimentobend_core._internal.membership.spread.liveness import read_row
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState


class _Payload(NamedTuple):
    """Payload of a server row: what its id and rank do not contain."""

    presence: Presence
    service: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MAX)]
    data_centre: str
    region: str
    state: ServerState
    incarnation: int
    is_cold: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


def create_server_row(event: ServerEvent) -> Row:
    """Encode a server event as a row of its instance."""
    server = event.server
    payload = _Payload(event.presence, *server[1:])
    row_id = RowId(RowKind.SERVERS, event.instance_id, server.server_id)
    is_final = event.presence is not Presence.LIVE
    return Row(row_id, event.rank, _ENCODER.encode(payload), is_final)


def read_server_row(row: Row) -> ServerEvent | ServerForgotten:
    """Decode a server row; raise CodecError if it is malformed.

    An empty payload means that a snapshot lacked the row.
    """
    _, instance_id, server_id = row.row_id
    if not row.payload:
        return ServerForgotten(instance_id, server_id)
    try:
        payload = _DECODER.decode(row.payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a server row",
            context=f"server {server_id} of instance {instance_id}: {error}",
        ) from error
    server = Server(server_id, *payload[1:])
    return ServerEvent(instance_id, row.rank, payload.presence, server)


def read_rows(
    rows: tuple[Row, ...], on_fault: Callable[[CodecError], None]
) -> tuple[ViewInput, ...]:
    """Return the view's input from rows; rows of other kinds are skipped.

    ``on_fault`` is called for each malformed row; the others count.
    """
    events: list[ServerEvent] = []
    inputs: list[ViewInput] = []
    for row in rows:
        if row.row_id.kind == RowKind.LIVENESS:
            inputs.append(read_row(row))
        if row.row_id.kind == RowKind.SERVERS:
            try:
                read = read_server_row(row)
            except CodecError as error:
                on_fault(error)
                continue
            if isinstance(read, ServerEvent):
                events.append(read)
            else:
                inputs.append(read)
    return (ServerEvents(tuple(events)), *inputs) if events else tuple(inputs)
