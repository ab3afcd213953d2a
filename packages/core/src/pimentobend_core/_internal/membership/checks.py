"""Validate announcements before the registry applies them."""

import re

from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

LEASE_MIN_S = 1.0
LEASE_MAX_S = 60.0
SLOTS_MAX = 4096
NAME_CHARACTERS_MAX = 128
PORT_MAX = 65535
# Start times and sequence numbers; the messages between instances hold 64 bits.
NUMBER_MAX = 2**62 - 1

# Ids and hosts are sent in headers, and written to logs.
_VISIBLE = re.compile(r"[!-~]*")

_NEXT_STATES = {
    ServerState.STARTING: frozenset(ServerState),
    ServerState.READY: frozenset({ServerState.READY, ServerState.DRAINING}),
    ServerState.DRAINING: frozenset({ServerState.DRAINING}),
}


def find_faults(announcement: Announcement) -> tuple[str, ...]:
    """Return every fault of an announcement's own fields."""
    server = announcement.server
    faults = [
        f"{field}: must have 1 to {NAME_CHARACTERS_MAX} characters"
        for field in ("server_id", "service", "host", "data_centre", "region")
        if not 1 <= len(getattr(server, field)) <= NAME_CHARACTERS_MAX
    ]
    faults += [
        f"{field}: must be visible ASCII characters"
        for field in ("server_id", "host")
        if not _VISIBLE.fullmatch(getattr(server, field))
    ]
    if not 1 <= server.port <= PORT_MAX:
        faults.append(f"port: must be 1 to {PORT_MAX}")
    if not 1 <= server.slots <= SLOTS_MAX:
        faults.append(f"slots: must be 1 to {SLOTS_MAX}")
    if not 0 <= server.incarnation <= NUMBER_MAX:
        faults.append(f"incarnation: must be 0 to {NUMBER_MAX}")
    if not 0 <= announcement.sequence <= NUMBER_MAX:
        faults.append(f"sequence: must be 0 to {NUMBER_MAX}")
    if not LEASE_MIN_S <= announcement.lease_s <= LEASE_MAX_S:
        faults.append(f"lease_s: must be {LEASE_MIN_S:g} to {LEASE_MAX_S:g}")
    return tuple(faults)


def find_transition_faults(previous: Server, new: Server) -> tuple[str, ...]:
    """Return the faults of an announcement compared with the previous one."""
    if new.incarnation > previous.incarnation:
        return ()
    if new.incarnation < previous.incarnation:
        return (f"incarnation: must be at least {previous.incarnation}",)
    faults = []
    if new.state not in _NEXT_STATES[previous.state]:
        faults.append(
            f"state: cannot change from {previous.state.value} to {new.state.value}"
            " within one incarnation"
        )
    if new.service != previous.service:
        faults.append("service: cannot change within one incarnation")
    return tuple(faults)
