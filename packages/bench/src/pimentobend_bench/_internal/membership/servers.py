"""Generated backend servers of a fleet and the rows that describe them."""

from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.plan import Place
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

SERVICES = 580
SERVERS_PER_DAEMON = 11


def create_rows(
    place: Place, daemon_index: int, epoch: int, change_count: int = 0
) -> tuple[Row, ...]:
    """Return the rows of the servers that announce themselves to one daemon.

    Each change raises the ranks of the rows and switches the states of the servers.
    """
    first = daemon_index * SERVERS_PER_DAEMON
    return tuple(
        _create_row(
            place, first + offset, epoch, change_count * SERVERS_PER_DAEMON + offset
        )
        for offset in range(SERVERS_PER_DAEMON)
    )


def _create_row(place: Place, server: int, epoch: int, sequence: int) -> Row:
    state = ServerState.DRAINING if sequence % 2 else ServerState.READY
    announced = Server(
        f"{place.data_centre}-server-{server:05}",
        f"service-{server * 7919 % SERVICES:03}",
        f"10.{server >> 16 & 255}.{server >> 8 & 255}.{server & 255}",
        8000 + server % 100,
        3 + server % 4,
        place.data_centre,
        place.region,
        state,
        1_700_000_000 + server * 37 % 86_400 + epoch,
    )
    rank = Rank(epoch, sequence + 1)
    event = ServerEvent(place.instance_id, rank, Presence.LIVE, announced)
    return create_server_row(event)
