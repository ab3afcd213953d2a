"""Values that describe backend servers."""

import enum
from typing import NamedTuple


class ServerState(enum.Enum):
    """The state that a backend server announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Server(NamedTuple):
    """A backend server as announced by itself."""

    server_id: str
    service: str
    host: str
    port: int
    slots: int
    data_centre: str
    region: str
    state: ServerState
    incarnation: int  # grows at each start of the server
    is_cold: bool = False  # slow for some seconds after its start


class Announcement(NamedTuple):
    """A backend server's announcement of itself for ``lease_s`` seconds."""

    server: Server
    lease_s: float
    sequence: int = 0  # grows with each announcement of one incarnation


class Withdrawal(NamedTuple):
    """A backend server's announcement that it is leaving."""

    server_id: str
    incarnation: int
