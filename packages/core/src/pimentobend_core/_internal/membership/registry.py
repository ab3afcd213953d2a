"""Lease registry of the servers that announce themselves to this instance.

A server keeps its lease by renewing its announcement. The registry emits a
``ServerEvent`` for each change, and other instances keep the latest event of
each server.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.membership.checks import NUMBER_MAX
from pimentobend_core._internal.membership.checks import find_faults
from pimentobend_core._internal.membership.checks import find_transition_faults
from pimentobend_core._internal.membership.messages import AnnouncementAccepted
from pimentobend_core._internal.membership.messages import AnnouncementRefused
from pimentobend_core._internal.membership.messages import DrainReplied
from pimentobend_core._internal.membership.messages import DrainServer
from pimentobend_core._internal.membership.messages import EarlierDrains
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryOutput
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.membership.messages import WithdrawalAccepted
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal
from pimentobend_core._internal.pipes import StatefulFilter

SERVERS_MAX = 256
RENEWALS_PER_LEASE = 3
PAUSE_S = 2.0  # a longer gap between calls of handle means that this process was paused
# How long the lease of a withdrawn or expired server is kept. This is longer than
# any lease, so that a late announcement of a withdrawn server is refused.
FORGET_S = 120.0


class _Lease(NamedTuple):
    """Lease of one server.

    ``until`` is when a live server's lease expires, or when the record of a
    withdrawn or expired server is deleted, on the same clock as the ``now`` of
    ``handle``.
    """

    server: Server
    presence: Presence
    until: float
    sequence: int = 0  # sequence number of the latest announcement


class _Departure(NamedTuple):
    """Withdrawal of a server that this process had not heard of."""

    incarnation: int  # the latest one that left
    until: float  # when the record is deleted


class ServerRegistry(StatefulFilter[RegistryInput, RegistryOutput]):
    """Turn announcements, withdrawals and expired leases into events.

    ``epoch`` must increase at each start of the instance, so that its events
    replace those from before the restart. With ``unique_addresses``,
    incarnations are start times, and a server that started later replaces an
    earlier one at the same host and port.
    """

    def __init__(
        self, instance_id: str, epoch: int = 0, *, unique_addresses: bool = False
    ) -> None:
        self._instance_id = instance_id
        self._epoch = epoch
        self._unique_addresses = unique_addresses
        self._sequence = 0
        self._leases: dict[str, _Lease] = {}
        self._drained: dict[str, int] = {}  # latest drained incarnation by server
        # After a restart, a withdrawal can arrive before any announcement.
        self._departures: dict[str, _Departure] = {}
        self._last_handled_at: float | None = None

    def handle(self, message: RegistryInput, now: float) -> tuple[RegistryOutput, ...]:
        """Handle an announcement, a withdrawal, a drain request or a tick."""
        self._extend_after_pause(now)
        expired = self._expire(now)
        match message:
            case Announcement():
                return expired + self._announce(message, now)
            case Withdrawal():
                return expired + self._withdraw(message, now)
            case DrainServer():
                return expired + self._drain(message.server_id)
            case EarlierDrains():
                return expired + self._restore_drains(message)
            case _:
                return expired

    def events(self) -> tuple[ServerEvent, ...]:
        """Return a new event for every server, also the withdrawn and expired ones.

        Publishing them repeats the state of all servers.
        """
        return tuple(
            self._create_event(lease.presence, lease.server)
            for lease in list(self._leases.values())
        )

    def dump(self) -> Mapping[str, object]:
        """Return the leases as JSON-compatible values."""
        return {
            "instance": self._instance_id,
            "epoch": self._epoch,
            "sequence": self._sequence,
            "servers": {
                server_id: {
                    "service": lease.server.service,
                    "state": lease.server.state.value,
                    "incarnation": lease.server.incarnation,
                    "presence": lease.presence.value,
                    "until": lease.until,
                }
                for server_id, lease in sorted(self._leases.items())
            },
            "drained": dict(sorted(self._drained.items())),
        }

    def _announce(
        self, message: Announcement, now: float
    ) -> tuple[RegistryOutput, ...]:
        server = self._apply_drain(message.server)
        faults = find_faults(message)
        if not faults and self._is_outdated(message):
            return (self._accept(message),)
        if self._unique_addresses and not faults:
            faults = self._find_address_faults(server)
        known = self._leases.get(server.server_id)
        if known is not None:
            faults += find_transition_faults(known.server, server)
            faults += _find_withdrawal_faults(known, server)
        else:
            faults += self._find_admission_faults(server)
        if faults:
            return (AnnouncementRefused(server.server_id, faults),)
        replaced = self._replace_at_address(server, now)
        self._leases[server.server_id] = _Lease(
            server, Presence.LIVE, now + message.lease_s, message.sequence
        )
        accepted = self._accept(message)
        if known is not None and known[:2] == (server, Presence.LIVE):
            return (accepted, *replaced)
        return (accepted, *replaced, self._create_event(Presence.LIVE, server))

    def _find_admission_faults(self, server: Server) -> tuple[str, ...]:
        """Return why a server without a lease gets none."""
        if len(self._leases) >= SERVERS_MAX:
            return (f"server_id: limit of {SERVERS_MAX} announced servers reached",)
        departure = self._departures.get(server.server_id)
        if departure is None:
            return ()
        return _find_incarnation_faults(server, departure.incarnation)

    def _accept(self, message: Announcement) -> AnnouncementAccepted:
        lease_s = message.lease_s
        return AnnouncementAccepted(
            message.server.server_id, lease_s, lease_s / RENEWALS_PER_LEASE
        )

    def _is_outdated(self, message: Announcement) -> bool:
        """Return whether a later announcement of the same incarnation arrived."""
        known = self._leases.get(message.server.server_id)
        if known is None or known.server.incarnation != message.server.incarnation:
            return False
        return message.sequence < known.sequence

    def _find_address_faults(self, server: Server) -> tuple[str, ...]:
        later = [
            lease.server.server_id
            for lease in self._leases.values()
            if _has_same_address(lease.server, server)
            and lease.server.incarnation > server.incarnation
        ]
        return tuple(
            f"address: {server.host}:{server.port} is used by {each}, which started"
            f" later than {server.server_id}"
            for each in later
        )

    def _replace_at_address(self, server: Server, now: float) -> list[RegistryOutput]:
        if not self._unique_addresses:
            return []
        return [
            self._end_lease(lease.server, Presence.WITHDRAWN, now)
            for lease in list(self._leases.values())
            if lease.presence is Presence.LIVE
            and _has_same_address(lease.server, server)
            and lease.server.server_id != server.server_id
        ]

    def _drain(self, server_id: str) -> tuple[RegistryOutput, ...]:
        known = self._leases.get(server_id)
        if known is None or known.presence is not Presence.LIVE:
            return (DrainReplied(server_id, is_known=False),)
        self._drained[server_id] = known.server.incarnation
        replied = DrainReplied(server_id, is_known=True)
        server = self._apply_drain(known.server)
        if server == known.server:
            return (replied,)
        self._leases[server_id] = known._replace(server=server)
        return (replied, self._create_event(Presence.LIVE, server))

    def _restore_drains(self, message: EarlierDrains) -> tuple[RegistryOutput, ...]:
        """Drain servers again, so that no delayed announcement brings them back."""
        events: list[RegistryOutput] = []
        for server_id, incarnation in message.servers[:SERVERS_MAX]:
            if self._drained.get(server_id, incarnation) > incarnation:
                continue
            self._drained[server_id] = incarnation
            known = self._leases.get(server_id)
            if known is None or known.presence is not Presence.LIVE:
                continue
            server = self._apply_drain(known.server)
            if server != known.server:
                self._leases[server_id] = known._replace(server=server)
                events.append(self._create_event(Presence.LIVE, server))
        return tuple(events)

    def _apply_drain(self, server: Server) -> Server:
        if server.incarnation > self._drained.get(server.server_id, -1):
            return server
        return server._replace(state=ServerState.DRAINING)

    def _withdraw(self, message: Withdrawal, now: float) -> tuple[RegistryOutput, ...]:
        accepted = WithdrawalAccepted(message.server_id)
        known = self._leases.get(message.server_id)
        if known is None:
            return (accepted, *self._record_departure(message, now))
        server = known.server
        if message.incarnation < server.incarnation:
            return (accepted,)
        if server.incarnation < message.incarnation <= NUMBER_MAX:
            # A later lifetime withdraws whose announcements have not arrived yet.
            server = server._replace(incarnation=message.incarnation)
        elif known.presence is Presence.WITHDRAWN:
            return (accepted,)
        return (accepted, self._end_lease(server, Presence.WITHDRAWN, now))

    def _record_departure(
        self, message: Withdrawal, now: float
    ) -> tuple[UnknownServerLeft, ...]:
        """Remember an unknown server that left, to refuse its late announcements."""
        server_id, incarnation = message
        earlier = self._departures.pop(server_id, None)
        if earlier is not None:
            incarnation = max(incarnation, earlier.incarnation)
        self._departures[server_id] = _Departure(incarnation, now + FORGET_S)
        if len(self._departures) > SERVERS_MAX:
            del self._departures[next(iter(self._departures))]
        if earlier is not None and earlier.incarnation == incarnation:
            return ()
        return (UnknownServerLeft(server_id, incarnation),)

    def _expire(self, now: float) -> tuple[RegistryOutput, ...]:
        events = []
        for server_id, lease in list(self._leases.items()):
            if lease.until > now:
                continue
            if lease.presence is Presence.LIVE:
                events.append(self._end_lease(lease.server, Presence.EXPIRED, now))
            else:
                del self._leases[server_id]
                self._drained.pop(server_id, None)
        self._departures = {
            server_id: departure
            for server_id, departure in self._departures.items()
            if departure.until > now
        }
        return tuple(events)

    def _end_lease(self, server: Server, presence: Presence, now: float) -> ServerEvent:
        self._leases[server.server_id] = _Lease(server, presence, now + FORGET_S)
        return self._create_event(presence, server)

    def _create_event(self, presence: Presence, server: Server) -> ServerEvent:
        self._sequence += 1
        rank = Rank(self._epoch, self._sequence)
        return ServerEvent(self._instance_id, rank, presence, server)

    def _extend_after_pause(self, now: float) -> None:
        """Extend the leases by the time in which no renewal could be handled."""
        last_handled_at, self._last_handled_at = self._last_handled_at, now
        if last_handled_at is None or now - last_handled_at <= PAUSE_S:
            return
        pause = now - last_handled_at
        for server_id, lease in self._leases.items():
            if lease.presence is Presence.LIVE:
                self._leases[server_id] = lease._replace(until=lease.until + pause)


def _has_same_address(known: Server, server: Server) -> bool:
    return (known.host, known.port) == (server.host, server.port)


def _find_withdrawal_faults(known: _Lease, server: Server) -> tuple[str, ...]:
    if known.presence is not Presence.WITHDRAWN:
        return ()
    return _find_incarnation_faults(server, known.server.incarnation)


def _find_incarnation_faults(server: Server, withdrawn: int) -> tuple[str, ...]:
    if server.incarnation > withdrawn:
        return ()
    return (
        f"incarnation: must be above {withdrawn}, which was withdrawn,"
        f" not {server.incarnation}",
    )
