"""Define what daemons tell of themselves."""

from typing import NamedTuple


class HostedServer(NamedTuple):
    """Describe a backend server beside a daemon."""

    server_id: str
    service: str
    is_ready: bool  # takes new work


class Life(NamedTuple):
    """Order the rows of one daemon; a row never goes back in it."""

    incarnation: int  # grows at each start of the daemon
    revision: int


class PeerRow(NamedTuple):
    """Describe a daemon of the fleet."""

    address: str  # of its link
    life: Life
    process_id: int  # drawn at each start
    data_centre: str
    region: str
    is_control: bool
    forward_port: int  # takes forwarded requests over HTTP; 0 where none are taken
    is_leaving: bool
    servers: tuple[HostedServer, ...]

    @property
    def host(self) -> str:
        """Return the IP number."""
        return self.address.rpartition(":")[0]
