"""Probes that measure the server registry and the view.

The view is a daemon's list of the servers of the whole fleet.
"""

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe
from pimentobend_bench._internal.capacity.rows import make_server
from pimentobend_bench._internal.capacity.target import DAEMONS
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.membership.view import MembershipView
from pimentobend_core._internal.models.server import Announcement

_VIEW_SIZES = (2_500, 5_000, 10_000, 20_000)
_REGISTRY_SIZES = (3, 11, 44, 128, 256)
_LEASE_S = 10.0
_FIRST_EPOCH = 1_700_000_000_000_000_000


def make_event(number: int, sequence: int, presence: Presence) -> ServerEvent:
    """Return the event of server ``number``, as its instance sends it."""
    return ServerEvent(
        instance_id=f"instance-{number % DAEMONS:04d}",
        rank=Rank(_FIRST_EPOCH + number % DAEMONS, sequence),
        presence=presence,
        server=make_server(number),
    )


def fill_view(size: int) -> MembershipView:
    """Return a view of ``size`` servers, which holds decoded events as in a daemon."""
    view = MembershipView()
    for event in _events(size):
        encoded = msgspec.msgpack.encode(event)
        view.handle(msgspec.msgpack.decode(encoded, type=ServerEvent), 0.0)
    return view


class ViewMemoryProbe(MemoryProbe):
    """Fill the view with servers."""

    name = "memory-view-server"
    sized_by = "servers"
    sizes = _VIEW_SIZES
    mechanism = "core membership.view"

    def warm_up(self) -> None:
        """Fill a small view."""
        fill_view(4)

    def build(self, size: int) -> object:
        """Return a view of ``size`` servers."""
        return fill_view(size)


class ViewEventCpuProbe(CpuProbe):
    """Apply the withdrawal or the return of one server to a view."""

    name = "cpu-membership-event"
    sized_by = "servers"
    sizes = _VIEW_SIZES
    mechanism = "core membership.view"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that applies the next event of a flapping server."""
        view = fill_view(size)
        events = _flapping_events()
        return lambda: view.handle(next(events), 1.0)


class LeaseRenewalCpuProbe(CpuProbe):
    """Renew the leases of all servers of one instance."""

    name = "cpu-lease-renewal"
    sized_by = "servers of one instance"
    reads = "processor time to renew all"
    sizes = _REGISTRY_SIZES
    mechanism = "core membership.registry"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that renews every lease once."""
        registry = ServerRegistry("instance-0000", _FIRST_EPOCH)
        announcements = [
            Announcement(make_server(number), _LEASE_S) for number in range(size)
        ]

        def renew() -> None:
            for announcement in announcements:
                registry.handle(announcement, 0.0)

        return renew


class LeaseRenewalBytesProbe(BytesProbe):
    """Encode the HTTP requests and responses that renew leases."""

    name = "bytes-lease-renewal"
    sized_by = "servers of one instance"
    reads = "bytes of requests and answers"
    sizes = _REGISTRY_SIZES
    mechanism = "daemon interfaces.servers"

    def encode(self, size: int) -> bytes:
        """Return the bytes of both directions for ``size`` servers."""
        return b"".join(_encode_renewal(number) for number in range(size))


def _encode_renewal(number: int) -> bytes:
    server = make_server(number)
    request = msgspec.json.encode({**server._asdict(), "lease_s": _LEASE_S})
    response = msgspec.json.encode(
        {"server_id": server.server_id, "lease_s": _LEASE_S, "renew_after_s": 3.33}
    )
    request_head = (
        f"POST /announce HTTP/1.1\r\nHost: {server.host}:{server.port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(request)}\r\n\r\n"
    )
    response_head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(response)}\r\n"
        "Date: Fri, 04 Dec 2026 11:00:00 GMT\r\n\r\n"
    )
    return request_head.encode() + request + response_head.encode() + response


def _events(size: int) -> Iterator[ServerEvent]:
    return (make_event(number, number, Presence.LIVE) for number in range(size))


def _flapping_events() -> Iterator[ServerEvent]:
    sequence = _FIRST_EPOCH
    while True:
        sequence += 1
        presence = Presence.WITHDRAWN if sequence % 2 else Presence.LIVE
        yield make_event(0, sequence, presence)


PROBES = (
    ViewMemoryProbe(),
    ViewEventCpuProbe(),
    LeaseRenewalCpuProbe(),
    LeaseRenewalBytesProbe(),
)
