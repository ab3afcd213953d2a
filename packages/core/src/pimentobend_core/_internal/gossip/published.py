"""What a daemon's row says of the servers on its machine."""

from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.membership.messages import EarlierDrains
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.models.server import ServerState

LEFT_SERVERS_MAX = 4  # the last servers that left one machine


class PublishedServers:
    """The live servers, and the last ones that left, which are not ready.

    Those that left stay listed, so that other daemons can name them to this one
    after a restart.
    """

    def __init__(self) -> None:
        self._live: dict[str, HostedServer] = {}
        self._left: dict[str, HostedServer] = {}

    def update(self, event: ServerEvent) -> None:
        """Update the list with a change of one server."""
        server = event.server
        listed = HostedServer(
            server.server_id,
            server.service,
            server.state is not ServerState.DRAINING,
            server.incarnation,
        )
        self._left.pop(listed.server_id, None)
        if event.presence is Presence.LIVE:
            self._live[listed.server_id] = listed
            return
        self._live.pop(listed.server_id, None)
        if event.presence is Presence.WITHDRAWN:
            self._keep(listed)

    def add_departure(self, left: UnknownServerLeft) -> None:
        """List a server that left without being known to this process."""
        self._keep(HostedServer(left.server_id, "", False, left.incarnation))

    def restore(self, servers: tuple[HostedServer, ...]) -> EarlierDrains:
        """Return which servers of an earlier row were not ready, and list them."""
        unready = [each for each in servers if not each.is_ready]
        for each in unready[-LEFT_SERVERS_MAX:]:
            if each.server_id not in self._live:
                self._keep(each)
        return EarlierDrains(
            tuple((each.server_id, each.incarnation) for each in unready)
        )

    def all(self) -> tuple[HostedServer, ...]:
        """Return the servers of this daemon's row."""
        return (*self._live.values(), *self._left.values())

    def unready(self) -> tuple[HostedServer, ...]:
        """Return the servers that the row lists while the daemon is stopping."""
        return tuple(each for each in self.all() if not each.is_ready)

    def _keep(self, server: HostedServer) -> None:
        self._left[server.server_id] = server._replace(is_ready=False)
        while len(self._left) > LEFT_SERVERS_MAX:
            del self._left[next(iter(self._left))]
