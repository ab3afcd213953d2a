"""Make the bid of a backend server for a request of a route."""

from pimentobend_core._internal.forwarding.fair_parts import Group
from pimentobend_core._internal.forwarding.fair_parts import make_group
from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bid

QUEUE_LIMIT = 128  # queued attempts per server
# A doubtful server, one with a higher risk of failing than TRIAL_RISK, asks for a
# trial request after this time without any request.
TRIAL_INTERVAL_S = 1.5
TRIAL_RISK = 0.1


def has_place(hosted: HostedServer, group: Group) -> bool:
    """Return whether an attempt of a group may join the queue.

    A full queue takes attempts of groups that have less than their part of its places,
    so that it is at most some times as long as its limit.
    """
    backlog = hosted.backlog
    if len(backlog) < QUEUE_LIMIT:
        return True
    return backlog.counts.of(group) < backlog.counts.part_of(group, QUEUE_LIMIT)


def may_bid(hosted: HostedServer, ask: Ask, now: float) -> bool:
    """Return whether a server takes such an attempt at ``now``, in seconds."""
    if not hosted.is_ready or now < hosted.unreachable_until:
        return False
    return has_place(hosted, make_group(ask.organisation, is_call=ask.is_call))


def make_bid(
    hosted: HostedServer,
    ask: Ask,
    now: float,
    *,
    takes_repeats: bool,
    takes_copies: bool,
    admit_share: float,
) -> Bid:
    """Return the bid of a server at ``now``, in seconds."""
    durations = hosted.durations.of(ask.route)
    risk = hosted.liveness.risk(now)
    is_idle = hosted.liveness.idle_s(now) >= TRIAL_INTERVAL_S
    group = make_group(ask.organisation, is_call=ask.is_call)
    wait_s = hosted.wait_s(ask.route, now, group)
    return Bid(
        hosted.server.server_id,
        _shorten(risk, 3),
        hosted.free_slots,
        _shorten(wait_s, 3),
        _shorten(hosted.slowdown * durations.p90_s, 3),
        risk > TRIAL_RISK and is_idle and hosted.free_slots > 0,
        takes_repeats,
        _shorten(hosted.refusals.share(now), 2),
        durations.is_known,
        takes_copies,
        _shorten(admit_share, 2),
        _shorten(hosted.call_room.room(hosted.server.slots), 0),
        _shorten(hosted.call_room.demand, 1),
    )


def _shorten(number: float, digits: int) -> float:
    """Round a number; whole ones become integers, which take 1 byte instead of 9."""
    rounded = round(number, digits)
    return int(rounded) if rounded == int(rounded) else rounded
