"""Sample the room that the servers of a host have for calls."""

from collections.abc import Iterable

from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.selection import FAILING_RISK


def sample_rooms(servers: Iterable[HostedServer], now: float) -> None:
    """Sample the loads at ``now``, in seconds.

    What a server that probably fails does not answer holds its slots, which admitting
    less would not change, so it counts as empty.
    """
    for hosted in servers:
        if hosted.liveness.risk(now) >= FAILING_RISK:
            hosted.call_room.sample(0, 0.0, now, used=0.0)
            continue
        calls = (each for each in hosted.backlog if each.group.is_call)
        waiting_s = sum(each.expected_s for each in calls)
        groups = (*hosted.running.values(), *(each.group for each in hosted.backlog))
        direct = sum(not group.is_call for group in groups)
        used = len(hosted.running) / max(1, hosted.server.slots)
        hosted.call_room.sample(direct, waiting_s, now, used=used)
