"""Rows: the records that daemons publish about themselves."""

from typing import Annotated
from typing import NamedTuple

import msgspec

from pimentobend_core._internal.crashes.messages import CrashReport

PORT_MAX = 65535
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=PORT_MAX)]


class HostedServer(NamedTuple):
    """A backend server that is registered with a daemon."""

    server_id: str
    service: str
    is_ready: bool  # accepts new requests; False also for a server that left
    incarnation: int = 0  # higher at each start of the server


class RowVersion(NamedTuple):
    """Version of a daemon's row: rows with a higher value replace lower ones."""

    incarnation: int  # higher at each start of the daemon
    revision: int  # incremented with each change of the row


class PeerRow(NamedTuple):
    """The row of one daemon of the fleet."""

    address: Address  # host:port for messages between daemons
    version: RowVersion
    process_id: int  # random, new at each start
    data_centre: str
    region: str
    is_control: bool
    forward_port: Port  # HTTP port for forwarded requests; 0 if it accepts none
    is_leaving: bool
    servers: tuple[HostedServer, ...]
    crash_reports: tuple[CrashReport, ...] = ()

    @property
    def host(self) -> str:
        """Return the host part of the address, an IP address."""
        return self.address.rpartition(":")[0]
