"""Check what is acknowledged while the registry does not answer."""

import pytest
from returns.result import Failure
from returns.result import Success

from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal
from pimentobendd._internal.fleet.local_servers import LocalServers

SERVER = Server(
    "kiln-1", "bookings", "127.0.0.1", 9001, 6, "a", "r", ServerState.READY, 7
)


def make_servers() -> LocalServers:
    changes: list[ServerEvent | UnknownServerLeft] = []
    return LocalServers("daemon-1", 1, changes.append, lambda server_id, faults: None)


@pytest.mark.parametrize("is_running", [True, False])
def test_only_what_the_registry_recorded_is_acknowledged(is_running: bool) -> None:
    servers = make_servers()
    if is_running:
        servers.task.start()
    announced = servers.announce(Announcement(SERVER, 6.0))
    assert isinstance(announced, Success if is_running else Failure)
    assert servers.withdraw(Withdrawal("kiln-1", 7)) == is_running
    servers.task.stop()
