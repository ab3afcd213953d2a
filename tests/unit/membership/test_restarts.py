"""Check which servers a restarted instance hears to have left it before."""

import pytest

from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.restarts import find_earlier_drains
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

EPOCH = 9
LIVE, WITHDRAWN, EXPIRED = Presence.LIVE, Presence.WITHDRAWN, Presence.EXPIRED
READY, DRAINING = ServerState.READY, ServerState.DRAINING
CASES = [  # author, epoch, presence, state, whether the server had left or was leaving
    ("withdrawn", "me", 8, WITHDRAWN, READY, True),
    ("draining", "me", 8, LIVE, DRAINING, True),
    ("ready", "me", 8, LIVE, READY, False),
    ("its lease expired", "me", 8, EXPIRED, READY, False),
    ("withdrawn since the restart", "me", 9, WITHDRAWN, READY, False),
    ("withdrawn from another instance", "other", 8, WITHDRAWN, READY, False),
]


@pytest.mark.parametrize(
    ("author", "epoch", "presence", "state", "is_leaving"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_earlier_drains(
    author: str, epoch: int, presence: Presence, state: ServerState, is_leaving: bool
) -> None:
    server = Server("kiln-1", "bookings", "h", 80, 3, "z", "r", state, 7)
    event = ServerEvent(author, Rank(epoch, 1), presence, server)
    drains = find_earlier_drains((event,), "me", EPOCH)
    assert drains.servers == ((("kiln-1", 7),) if is_leaving else ())
