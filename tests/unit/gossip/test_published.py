"""Test which servers a daemon's row lists."""

import pytest

from pimentobend_core._internal.gossip.published import LEFT_SERVERS_MAX
from pimentobend_core._internal.gossip.published import PublishedServers
from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

LIVE, WITHDRAWN, EXPIRED = Presence.LIVE, Presence.WITHDRAWN, Presence.EXPIRED
READY, DRAINING = ServerState.READY, ServerState.DRAINING


def change(
    presence: Presence,
    state: ServerState = READY,
    name: str = "a",
    incarnation: int = 7,
) -> ServerEvent:
    server = Server(name, "shop", "h", 80, 3, "z", "r", state, incarnation)
    return ServerEvent("d", Rank(1, 1), presence, server)


USED = HostedServer("a", "shop", True, 7)
UNUSED = USED._replace(is_ready=False)
CASES = [  # name, changes, servers in the row, those while the daemon stops
    ("live", [change(LIVE)], (USED,), ()),
    ("draining", [change(LIVE), change(LIVE, DRAINING)], (UNUSED,), (UNUSED,)),
    ("withdrawn", [change(LIVE), change(WITHDRAWN)], (UNUSED,), (UNUSED,)),
    ("its lease expired", [change(LIVE), change(EXPIRED)], (), ()),
    ("back", [change(WITHDRAWN), change(LIVE)], (USED,), ()),
]


@pytest.mark.parametrize(
    ("changes", "listed", "unready"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_listed_servers(
    changes: list[ServerEvent],
    listed: tuple[HostedServer, ...],
    unready: tuple[HostedServer, ...],
) -> None:
    servers = PublishedServers()
    for each in changes:
        servers.update(each)
    assert servers.all() == listed
    assert servers.unready() == unready


def test_the_servers_that_left_are_listed_again_after_a_restart() -> None:
    servers = PublishedServers()
    servers.update(change(LIVE, name="b", incarnation=9))
    drains = servers.restore((UNUSED, HostedServer("c", "shop", True, 8)))
    assert drains.servers == (("a", 7),)
    assert servers.unready() == (UNUSED,)


def test_an_unknown_server_that_left_is_listed_for_the_next_restart() -> None:
    servers = PublishedServers()
    servers.add_departure(UnknownServerLeft("a", 7))
    assert servers.unready() == (HostedServer("a", "", False, 7),)
    assert PublishedServers().restore(servers.all()).servers == (("a", 7),)


def test_the_list_of_servers_that_left_is_bounded() -> None:
    servers = PublishedServers()
    for number in range(3 * LEFT_SERVERS_MAX):
        servers.update(change(WITHDRAWN, name=str(number)))
    assert len(servers.all()) == LEFT_SERVERS_MAX
