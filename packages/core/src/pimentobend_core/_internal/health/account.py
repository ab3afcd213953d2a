"""Count one service's ejections against its floor."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.capacity import ServiceSize
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.health.limits import HOLD_S
from pimentobend_core._internal.health.limits import SOLICIT_S
from pimentobend_core._internal.health.messages import Ejection
from pimentobend_core._internal.health.messages import EjectionEnded
from pimentobend_core._internal.health.messages import EjectionStarted
from pimentobend_core._internal.health.messages import EjectionWithheld
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import FloorOutput
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.opinions import Candidate
from pimentobend_core._internal.health.opinions import Opinions
from pimentobend_core._internal.health.timeouts import Timeouts
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

SOLICIT_FOR_S = 5.0
SETTLE_S = 0.5  # a common cause shows on the other servers meanwhile
SETTLE_SLOW_S = 1.0  # long work in the slots delays the rest about as long


class _Active(NamedTuple):
    ejection: Ejection
    until: float


class ServiceAccount:
    """Own the ejections of a service.

    A server counts as lost while any observer may hold a lease on its
    ejection, which is longer than the ejection itself lasts.
    """

    def __init__(self, service: str, floor: float) -> None:
        self._service = service
        self._floor = floor
        self._servers: Mapping[str, Server] = {}
        self._size = ServiceSize()
        self._opinions = Opinions()
        self._timeouts = Timeouts()
        self._active: dict[str, _Active] = {}
        self._held_until: dict[str, float] = {}
        self._ended_in: dict[str, tuple[int, int]] = {}
        self._agreed_since: dict[str, float] = {}
        self._withheld: dict[str, str] = {}
        self._suspected_since: dict[str, float] = {}
        self._solicited_at = -SOLICIT_S
        self._term = 0
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the number of the list of ejections within the term."""
        return self._sequence

    def change_floor(self, floor: float) -> None:
        """Put a floor in force, as a share of the servers."""
        self._floor = floor

    def change_servers(self, servers: tuple[Server, ...], now: float) -> None:
        """Take the service's whole list of servers."""
        self._servers = {server.server_id: server for server in servers}
        self._size.observe(len(servers), now)

    def forget_observer(self, observer: str) -> None:
        """Forget a daemon that withdrew."""
        self._opinions.forget(observer)

    def restart(self) -> None:
        """Begin a term with no ejections; the earlier leases have been waited out."""
        self._opinions.clear()
        self._active.clear()
        self._held_until.clear()
        self._ended_in.clear()
        self._agreed_since.clear()
        self._suspected_since.clear()
        self._withheld.clear()
        self._sequence = 0

    def take_report(self, report: EvidenceReported, term: int, now: float) -> None:
        """Keep an observer's report."""
        self._term = term
        self._opinions.take(report, now)

    def reports(self, now: float) -> tuple[EvidenceReported, ...]:
        """Return the reports that a grant may still answer."""
        return self._opinions.reports(now)

    def lease(self, now: float) -> tuple[Ejection, ...]:
        """Return the ejections to lease out, and count them as lost meanwhile."""
        for server_id in self._active:
            self._held_until[server_id] = now + HOLD_S
        return tuple(active.ejection for active in self._active.values())

    def should_solicit(self, now: float) -> bool:
        """Say whether to ask all observers for reports, and note that.

        A suspicion that stays without agreement is one-sided; it is not worth
        the reports for long.
        """
        self._suspected_since = {
            server_id: self._suspected_since.get(server_id, now)
            for server_id in self._suspects(now) - self._active.keys()
        }
        is_new = any(
            now - since < SOLICIT_FOR_S for since in self._suspected_since.values()
        )
        if not is_new or now - self._solicited_at < SOLICIT_S:
            return False
        self._solicited_at = now
        return True

    def settle(self, now: float) -> tuple[FloorOutput, ...]:
        """End ejections that are over and begin those that are agreed on."""
        return (
            *self._end_stale(),
            *self._end_timed_out(now),
            *self._revoke_below_floor(now),
            *self._begin_agreed(now),
        )

    def dump(self) -> Mapping[str, object]:
        """Return the ejections and the floor as JSON-compatible values."""
        return {
            "floor": self._floor,
            "servers": len(self._servers),
            "sequence": self._sequence,
            "ejected": {
                server_id: {
                    "reason": active.ejection.reason.value,
                    "until": active.until,
                }
                for server_id, active in self._active.items()
            },
            "held_until": dict(self._held_until),
            "withheld": dict(self._withheld),
        }

    def _end_stale(self) -> Iterator[FloorOutput]:
        for server_id, active in list(self._active.items()):
            server = self._servers.get(server_id)
            is_same = server and server.incarnation == active.ejection.incarnation
            if server is None or not is_same or not _is_ready(server):
                yield self._end(server_id)

    def _end_timed_out(self, now: float) -> Iterator[FloorOutput]:
        for server_id, active in list(self._active.items()):
            if now >= active.until:
                self._timeouts.note_return(server_id, now)
                yield self._end(server_id)

    def _revoke_below_floor(self, now: float) -> Iterator[FloorOutput]:
        # Observers keep the oldest ejections too, so all agree meanwhile.
        newest_first = list(reversed(self._active))
        excess = self._required(now) - len(self._ready() - self._active.keys())
        for server_id in newest_first[: max(0, excess)]:
            yield self._end(server_id)

    def _begin_agreed(self, now: float) -> Iterator[FloorOutput]:
        candidates = self._candidates(now)
        self._agreed_since = {
            each.server_id: self._agreed_since.get(each.server_id, now)
            for each in candidates
        }
        withheld: dict[str, str] = {}
        is_common = 2 * len(self._suspects(now)) >= len(self._ready())
        for candidate in candidates:
            if now - self._agreed_since[candidate.server_id] < _settle_s(candidate):
                continue
            if is_common:
                withheld[candidate.server_id] = "common-cause"
            elif not self._may_lose(candidate.server_id, now):
                withheld[candidate.server_id] = "floor"
            else:
                yield self._begin(candidate, now)
        for server_id, cause in withheld.items():
            if self._withheld.get(server_id) != cause:
                yield EjectionWithheld(self._service, server_id, cause)
        self._withheld = withheld

    def _candidates(self, now: float) -> tuple[Candidate, ...]:
        ready = self._ready()
        return tuple(
            candidate
            for candidate in self._opinions.candidates(self._ended_in, now)
            if candidate.server_id in ready
            and candidate.server_id not in self._active
            and candidate.incarnation == self._servers[candidate.server_id].incarnation
        )

    def _suspects(self, now: float) -> frozenset[str]:
        suspects = self._opinions.suspects(self._ended_in, now)
        return (suspects | self._active.keys()) & self._ready()

    def _may_lose(self, server_id: str, now: float) -> bool:
        lost = self._lost(now) | {server_id}
        return len(self._ready() - lost) >= self._required(now)

    def _begin(self, candidate: Candidate, now: float) -> FloorOutput:
        timeout_s = self._timeouts.begin(candidate.server_id, now)
        ejection = Ejection(
            candidate.server_id, candidate.incarnation, candidate.reason
        )
        self._active[candidate.server_id] = _Active(ejection, now + timeout_s)
        self._sequence += 1
        return EjectionStarted(self._service, ejection, candidate.observers, timeout_s)

    def _end(self, server_id: str) -> FloorOutput:
        del self._active[server_id]
        self._sequence += 1
        self._ended_in[server_id] = (self._term, self._sequence)
        return EjectionEnded(self._service, server_id)

    def _lost(self, now: float) -> frozenset[str]:
        self._held_until = {
            server_id: until
            for server_id, until in self._held_until.items()
            if until > now
        }
        return frozenset(self._held_until) | frozenset(self._active)

    def _ready(self) -> frozenset[str]:
        return frozenset(
            server_id
            for server_id, server in self._servers.items()
            if _is_ready(server)
        )

    def _required(self, now: float) -> int:
        return required_servers(self._floor, self._size.largest(now))


def _settle_s(candidate: Candidate) -> float:
    return SETTLE_SLOW_S if candidate.reason is Reason.SLOW else SETTLE_S


def _is_ready(server: Server) -> bool:
    return server.state is ServerState.READY
