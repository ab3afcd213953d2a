"""Decide the ejections of one service within its floor."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.health.backoff import EjectionBackoff
from pimentobend_core._internal.health.capacity import PeakServerCount
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
from pimentobend_core._internal.health.observer_reports import Candidate
from pimentobend_core._internal.health.observer_reports import ObserverReports
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

SOLICIT_FOR_S = 5.0  # reports are requested for so long after a suspicion begins

# Seconds from the observers' agreement on a server to its ejection. A fault that
# all servers share shows on the others in this time. Slowness takes longer to show:
# long requests in the slots delay the other requests by about a second.
EJECTION_DELAY_S = 0.5
EJECTION_DELAY_SLOW_S = 1.0


class _ActiveEjection(NamedTuple):
    ejection: Ejection
    until: float  # when the ejection ends, in seconds of the clock


class ServiceEjections:
    """Start and end the ejections of one service.

    A server counts as unavailable while any observer may still hold a lease
    on its ejection, which can outlast the ejection itself.
    """

    def __init__(self, service: str, floor: float) -> None:
        self._service = service
        self._floor = floor
        self._servers: Mapping[str, Server] = {}
        self._peak_count = PeakServerCount()
        self._reports = ObserverReports()
        self._backoff = EjectionBackoff()
        self._active: dict[str, _ActiveEjection] = {}
        self._leased_until: dict[str, float] = {}
        self._end_versions: dict[str, tuple[int, int]] = {}  # term and sequence
        self._agreed_since: dict[str, float] = {}
        self._withheld: dict[str, str] = {}  # cause by server
        self._suspected_since: dict[str, float] = {}
        self._solicited_at = -SOLICIT_S
        self._term = 0
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the version of the list of ejections within the term."""
        return self._sequence

    def update_floor(self, floor: float) -> None:
        """Set the floor as a share of the servers."""
        self._floor = floor

    def update_servers(self, servers: tuple[Server, ...], now: float) -> None:
        """Replace the service's list of servers."""
        self._servers = {server.server_id: server for server in servers}
        self._peak_count.observe(len(servers), now)

    def remove_observer(self, observer: str) -> None:
        """Drop the reports of a daemon that left on purpose."""
        self._reports.remove_observer(observer)

    def restart(self) -> None:
        """Clear all ejections and reports for a new term.

        The floor owner grants nothing until all earlier leases have expired.
        """
        self._reports.clear()
        self._active.clear()
        self._leased_until.clear()
        self._end_versions.clear()
        self._agreed_since.clear()
        self._suspected_since.clear()
        self._withheld.clear()
        self._sequence = 0

    def add_report(self, report: EvidenceReported, term: int, now: float) -> None:
        """Store an observer's report and the owner's current term."""
        self._term = term
        self._reports.add(report, now)

    def reports(self, now: float) -> tuple[EvidenceReported, ...]:
        """Return the reports that are recent enough for a grant to answer."""
        return self._reports.reports(now)

    def lease(self, now: float) -> tuple[Ejection, ...]:
        """Return the ejections to grant; their servers count as lost for ``HOLD_S``."""
        for server_id in self._active:
            self._leased_until[server_id] = now + HOLD_S
        return tuple(active.ejection for active in self._active.values())

    def should_solicit(self, now: float) -> bool:
        """Return whether to request reports from all observers, and record the time.

        A suspicion that other observers do not confirm within
        ``SOLICIT_FOR_S`` is one-sided and does not justify more reports.
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

    def update(self, now: float) -> tuple[FloorOutput, ...]:
        """End expired ejections and start those that the observers agree on."""
        return (
            *self._end_stale(),
            *self._end_expired(now),
            *self._revoke_below_floor(now),
            *self._start_agreed(now),
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
            "held_until": dict(self._leased_until),
            "withheld": dict(self._withheld),
        }

    def _end_stale(self) -> Iterator[FloorOutput]:
        for server_id, active in list(self._active.items()):
            server = self._servers.get(server_id)
            is_same = server and server.incarnation == active.ejection.incarnation
            if server is None or not is_same or not _is_ready(server):
                yield self._end(server_id)

    def _end_expired(self, now: float) -> Iterator[FloorOutput]:
        for server_id, active in list(self._active.items()):
            if now >= active.until:
                self._backoff.record_return(server_id, now)
                yield self._end(server_id)

    def _revoke_below_floor(self, now: float) -> Iterator[FloorOutput]:
        # Observers that fall below the floor also keep the oldest ejections, so
        # that they and the owner choose the same servers until the next grant.
        newest_first = list(reversed(self._active))
        excess = self._required(now) - len(self._ready() - self._active.keys())
        for server_id in newest_first[: max(0, excess)]:
            yield self._end(server_id)

    def _start_agreed(self, now: float) -> Iterator[FloorOutput]:
        candidates = self._candidates(now)
        self._agreed_since = {
            each.server_id: self._agreed_since.get(each.server_id, now)
            for each in candidates
        }
        withheld: dict[str, str] = {}
        is_common = 2 * len(self._suspects(now)) >= len(self._ready())
        for candidate in candidates:
            if now - self._agreed_since[candidate.server_id] < _delay_s(candidate):
                continue
            if is_common:
                withheld[candidate.server_id] = "common-cause"
            elif not self._may_eject(candidate.server_id, now):
                withheld[candidate.server_id] = "floor"
            else:
                yield self._start(candidate, now)
        for server_id, cause in withheld.items():
            if self._withheld.get(server_id) != cause:
                yield EjectionWithheld(self._service, server_id, cause)
        self._withheld = withheld

    def _candidates(self, now: float) -> tuple[Candidate, ...]:
        ready = self._ready()
        return tuple(
            candidate
            for candidate in self._reports.candidates(self._end_versions, now)
            if candidate.server_id in ready
            and candidate.server_id not in self._active
            and candidate.incarnation == self._servers[candidate.server_id].incarnation
        )

    def _suspects(self, now: float) -> frozenset[str]:
        suspects = self._reports.suspects(self._end_versions, now)
        return (suspects | self._active.keys()) & self._ready()

    def _may_eject(self, server_id: str, now: float) -> bool:
        unavailable = self._unavailable(now) | {server_id}
        return len(self._ready() - unavailable) >= self._required(now)

    def _start(self, candidate: Candidate, now: float) -> FloorOutput:
        duration_s = self._backoff.start_ejection(candidate.server_id, now)
        ejection = Ejection(
            candidate.server_id, candidate.incarnation, candidate.reason
        )
        self._active[candidate.server_id] = _ActiveEjection(ejection, now + duration_s)
        self._sequence += 1
        return EjectionStarted(self._service, ejection, candidate.observers, duration_s)

    def _end(self, server_id: str) -> FloorOutput:
        del self._active[server_id]
        self._sequence += 1
        self._end_versions[server_id] = (self._term, self._sequence)
        return EjectionEnded(self._service, server_id)

    def _unavailable(self, now: float) -> frozenset[str]:
        self._leased_until = {
            server_id: until
            for server_id, until in self._leased_until.items()
            if until > now
        }
        return frozenset(self._leased_until) | frozenset(self._active)

    def _ready(self) -> frozenset[str]:
        return frozenset(
            server_id
            for server_id, server in self._servers.items()
            if _is_ready(server)
        )

    def _required(self, now: float) -> int:
        return required_servers(self._floor, self._peak_count.peak(now))


def _delay_s(candidate: Candidate) -> float:
    return (
        EJECTION_DELAY_SLOW_S if candidate.reason is Reason.SLOW else EJECTION_DELAY_S
    )


def _is_ready(server: Server) -> bool:
    return server.state is ServerState.READY
