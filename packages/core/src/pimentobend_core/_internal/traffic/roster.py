"""Know the servers of a pool and the slots that are free on them."""

from collections.abc import Mapping

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.selection import Candidate
from pimentobend_core._internal.traffic.selection import Proximity
from pimentobend_core._internal.traffic.slots import ServerSlots
from pimentobend_core._internal.traffic.slots import SlotsView

FAR_SLOTS_KEPT = 1.0  # a server
USUAL_GAIN = 0.05


class Roster:
    """Own the slots of one pool's servers."""

    def __init__(self, local_data_centre: str, local_region: str) -> None:
        self._local_data_centre = local_data_centre
        self._local_region = local_region
        self._slots: dict[str, ServerSlots] = {}
        self._health: dict[str, float] = {}
        self._usual_share = 0.0

    @property
    def in_flight(self) -> int:
        """Return the requests that this daemon has on all servers."""
        return sum(slots.in_flight for slots in self._slots.values())

    def has_usable(self) -> bool:
        """Say whether any server may take new work."""
        return any(slots.is_usable for slots in self._slots.values())

    def change_servers(self, servers: tuple[Server, ...], now: float) -> None:
        """Take the pool's whole list of live servers."""
        is_first = not self._slots
        named = {server.server_id for server in servers}
        for server in servers:
            known = self._slots.get(server.server_id)
            if known is not None:
                known.announce(server, now)
                continue
            # What a fresh daemon finds ready has been serving all along.
            is_warm = is_first and server.state is ServerState.READY
            slots = ServerSlots(server, None if is_warm else now)
            slots.set_health(self._health.get(server.server_id, 1.0))
            self._slots[server.server_id] = slots
        for server_id in self._slots.keys() - named:
            self._slots[server_id].withdraw()
            self._forget(server_id)

    def change_health(self, weights: Mapping[str, float]) -> None:
        """Take the weights of the servers that are not wholly healthy."""
        self._health = dict(weights)
        for server_id, slots in self._slots.items():
            slots.set_health(self._health.get(server_id, 1.0))

    def server(self, server_id: str) -> Server:
        """Return a server as it last announced itself."""
        return self._slots[server_id].server

    def take(self, server_id: str) -> bool:
        """Count a granted request, and say whether it is a probe."""
        return self._slots[server_id].take()

    def release(self, server_id: str) -> None:
        """Count an ended request."""
        self._slots[server_id].release()
        self._forget(server_id)

    def note_end(
        self, server_id: str, message: AttemptEnded, was_probe: bool, now: float
    ) -> None:
        """Learn from an ended attempt, before its release."""
        slots = self._slots[server_id]
        slots.note_end(message, was_probe, now)
        if message.load is not None:
            self._usual_share += USUAL_GAIN * (slots.others_share - self._usual_share)

    def free(
        self, now: float, hold_s: float, spare: float, allow_far: bool
    ) -> list[Candidate]:
        """Return the servers with a free slot that leaves ``spare`` behind.

        Servers of another region are given when no near one is usable, or
        when ``allow_far`` is set and they have slots to spare.
        """
        reach = self._in_reach()
        found = self._with_room(reach, now, hold_s, spare)
        if allow_far and reach and self._is_near(reach[0]):
            far = [
                slots
                for slots in self._slots.values()
                if slots.is_usable and not self._is_near(slots)
            ]
            found += self._with_room(far, now, hold_s, FAR_SLOTS_KEPT)
        return found

    def barred(self, excluded: frozenset[str], now: float) -> frozenset[str]:
        """Return those of ``excluded`` that may not take the request again.

        A server that only lacked a free slot may. Once every server in reach
        was tried, all of them may.
        """
        reach = self._in_reach()
        barred = frozenset(
            slots.server.server_id
            for slots in reach
            if slots.server.server_id in excluded and slots.is_failing(now)
        )
        return barred if len(barred) < len(reach) else frozenset()

    def dump(self, now: float, hold_s: float) -> dict[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            server_id: {
                "state": slots.server.state.value,
                "incarnation": slots.server.incarnation,
                "slots": slots.server.slots,
                "in_flight": slots.in_flight,
                "others": round(slots.others(now, hold_s), 2),
                "weight": round(slots.weight(now), 3),
                "usable": slots.is_usable,
            }
            for server_id, slots in self._slots.items()
        }

    def _is_near(self, slots: ServerSlots) -> bool:
        return slots.server.region == self._local_region

    def _in_reach(self) -> list[ServerSlots]:
        """Return the usable servers of this region, or else all usable ones."""
        usable = [slots for slots in self._slots.values() if slots.is_usable]
        return [slots for slots in usable if self._is_near(slots)] or usable

    def _with_room(
        self, some: list[ServerSlots], now: float, hold_s: float, spare: float
    ) -> list[Candidate]:
        found = []
        for slots in some:
            view = slots.view(now, hold_s, self._usual_share)
            # A server with a single slot has none to keep back.
            kept = spare if slots.server.slots > 1 else 0.0
            if view.free >= 1.0 + kept:
                found.append(self._candidate(slots.server, view))
        return found

    def _candidate(self, server: Server, view: SlotsView) -> Candidate:
        proximity = Proximity.FAR
        if server.region == self._local_region:
            proximity = Proximity.REGION
        if server.data_centre == self._local_data_centre:
            proximity = Proximity.DATA_CENTRE
        return Candidate(
            server.server_id, proximity, view.load, view.weight, view.is_probe
        )

    def _forget(self, server_id: str) -> None:
        slots = self._slots[server_id]
        if not slots.is_listed and slots.in_flight <= 0:
            del self._slots[server_id]
