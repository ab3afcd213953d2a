"""Track the servers of a pool and their free slots."""

from collections.abc import Mapping

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.selection import Candidate
from pimentobend_core._internal.traffic.selection import Proximity
from pimentobend_core._internal.traffic.slots import ServerSlots
from pimentobend_core._internal.traffic.slots import SlotsEstimate

FAR_RESERVE_SLOTS = 1.0  # slots per server that other regions' requests leave free
# Weight of a new load report in the average share of slots that other daemons use.
OTHER_SHARE_GAIN = 0.05


class Roster:
    """The servers of one pool, with the slots in use on each."""

    def __init__(self, local_data_centre: str, local_region: str) -> None:
        self._local_data_centre = local_data_centre
        self._local_region = local_region
        self._slots: dict[str, ServerSlots] = {}
        self._health: dict[str, float] = {}
        self._average_other_share = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of this daemon's requests on all servers."""
        return sum(slots.in_flight for slots in self._slots.values())

    def has_usable(self) -> bool:
        """Return whether any server may take new requests."""
        return any(slots.is_usable for slots in self._slots.values())

    def change_servers(self, servers: tuple[Server, ...], now: float) -> None:
        """Replace the list of live servers.

        A removed server is kept until its last request ends.
        """
        is_first = not self._slots
        listed_ids = {server.server_id for server in servers}
        for server in servers:
            known = self._slots.get(server.server_id)
            if known is not None:
                known.announce(server, now)
                continue
            # A server that is ready in the first list was running before this
            # daemon started, so it needs no cold start.
            is_warm = is_first and server.state is ServerState.READY
            slots = ServerSlots(server, None if is_warm else now, now)
            slots.set_health(self._health.get(server.server_id, 1.0))
            self._slots[server.server_id] = slots
        for server_id in self._slots.keys() - listed_ids:
            self._slots[server_id].withdraw()
            self._remove_if_unused(server_id)

    def change_health(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of the servers that are not fully healthy."""
        self._health = dict(weights)
        for server_id, slots in self._slots.items():
            slots.set_health(self._health.get(server_id, 1.0))

    def server(self, server_id: str) -> Server:
        """Return a server as last announced."""
        return self._slots[server_id].server

    def acquire(self, server_id: str) -> bool:
        """Count a granted request and return whether it is a probe."""
        return self._slots[server_id].acquire()

    def release(self, server_id: str) -> None:
        """Count an ended request."""
        self._slots[server_id].release()
        self._remove_if_unused(server_id)

    def record_end(
        self, server_id: str, message: AttemptEnded, was_probe: bool, now: float
    ) -> None:
        """Update the estimates from an ended attempt; call before ``release``."""
        slots = self._slots[server_id]
        slots.record_end(message, was_probe, now)
        if message.load is not None:
            self._average_other_share += OTHER_SHARE_GAIN * (
                slots.other_share - self._average_other_share
            )

    def candidates(
        self, now: float, hold_s: float, reserved_slots: float, allow_far: bool
    ) -> list[Candidate]:
        """Return the servers with a free slot in addition to ``reserved_slots``.

        Servers of other regions are included when no server of this region is
        usable, or when ``allow_far`` is set and they keep a slot in reserve.
        """
        preferred = self._preferred()
        found = self._with_free_slots(preferred, now, hold_s, reserved_slots)
        if allow_far and preferred and self._is_near(preferred[0]):
            far = [
                slots
                for slots in self._slots.values()
                if slots.is_usable and not self._is_near(slots)
            ]
            found += self._with_free_slots(far, now, hold_s, FAR_RESERVE_SLOTS)
        return found

    def still_excluded(self, excluded: frozenset[str], now: float) -> frozenset[str]:
        """Return the servers of ``excluded`` that may not take the request again.

        A server that only lacked a free slot may take it. When every preferred
        server is excluded, all of them may.
        """
        preferred = self._preferred()
        still_excluded = frozenset(
            slots.server.server_id
            for slots in preferred
            if slots.server.server_id in excluded and slots.is_failing(now)
        )
        return still_excluded if len(still_excluded) < len(preferred) else frozenset()

    def dump(self, now: float, hold_s: float) -> dict[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            server_id: {
                "state": slots.server.state.value,
                "incarnation": slots.server.incarnation,
                "slots": slots.server.slots,
                "in_flight": slots.in_flight,
                "others": round(slots.other_requests(now, hold_s), 2),
                "weight": round(slots.weight(now), 3),
                "usable": slots.is_usable,
            }
            for server_id, slots in self._slots.items()
        }

    def _is_near(self, slots: ServerSlots) -> bool:
        return slots.server.region == self._local_region

    def _preferred(self) -> list[ServerSlots]:
        """Return the usable servers of this region, or all usable if it has none."""
        usable = [slots for slots in self._slots.values() if slots.is_usable]
        return [slots for slots in usable if self._is_near(slots)] or usable

    def _with_free_slots(
        self,
        servers: list[ServerSlots],
        now: float,
        hold_s: float,
        reserved_slots: float,
    ) -> list[Candidate]:
        found = []
        for slots in servers:
            estimate = slots.estimate(now, hold_s, self._average_other_share)
            # No slot is reserved on a server that has a single one.
            reserved = reserved_slots if slots.server.slots > 1 else 0.0
            if estimate.free >= 1.0 + reserved:
                is_proven = slots.is_proven(now)
                found.append(self._candidate(slots.server, estimate, is_proven))
        return found

    def _candidate(
        self, server: Server, estimate: SlotsEstimate, is_proven: bool
    ) -> Candidate:
        proximity = Proximity.FAR
        if server.region == self._local_region:
            proximity = Proximity.REGION
        if server.data_centre == self._local_data_centre:
            proximity = Proximity.DATA_CENTRE
        return Candidate(
            server.server_id,
            proximity,
            estimate.load,
            estimate.weight,
            estimate.is_probe,
            is_proven,
        )

    def _remove_if_unused(self, server_id: str) -> None:
        slots = self._slots[server_id]
        if not slots.is_listed and slots.in_flight <= 0:
            del self._slots[server_id]
