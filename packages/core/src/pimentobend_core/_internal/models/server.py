"""Define the values that describe backend servers."""

import enum
from typing import NamedTuple


class ServerState(enum.Enum):
    """Name what a backend server says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Server(NamedTuple):
    """Describe a backend server, as it announced itself."""

    server_id: str
    service: str
    host: str
    port: int
    slots: int
    data_centre: str
    region: str
    state: ServerState
    incarnation: int  # grows at each start of the server
    is_cold: bool = False  # answers slowly for some seconds after its start


class Announcement(NamedTuple):
    """Carry a backend server's announcement; the lease is in seconds."""

    server: Server
    lease_s: float
    sequence: int = 0  # grows with each announcement of one incarnation


class Withdrawal(NamedTuple):
    """Carry a backend server's last word."""

    server_id: str
    incarnation: int
