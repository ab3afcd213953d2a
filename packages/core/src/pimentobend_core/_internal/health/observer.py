"""Watch a pool's backend servers from one daemon."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

from pimentobend_core._internal.health.capacity import ServiceSize
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.health.leases import LeasedEjections
from pimentobend_core._internal.health.limits import SUSPECT_SCORE
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthOutput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.reports import ReportSchedule
from pimentobend_core._internal.health.roster import Roster
from pimentobend_core._internal.health.weights import AVOIDED_WEIGHT
from pimentobend_core._internal.health.weights import RAMP_S
from pimentobend_core._internal.health.weights import Loss
from pimentobend_core._internal.health.weights import bounded_weights
from pimentobend_core._internal.health.weights import ramp_weight
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

_TRUSTED_SCORE = 0.3  # an avoided server is used again below it


class PoolHealth(StatefulFilter[HealthInput, HealthOutput]):
    """Own one daemon's evidence on a pool and the weights that follow.

    ``observer`` is the daemon's instance id. A server gets the weight 0 only
    under a lease from the floor's owner; on its own evidence the daemon goes
    down to a tenth, and never for more servers than the floor lets go.
    """

    def __init__(self, pool: Pool, observer: str) -> None:
        self._pool = pool
        self._observer = observer
        self._roster = Roster()
        self._leases = LeasedEjections()
        self._reports = ReportSchedule()
        self._size = ServiceSize()
        self._ejected: tuple[str, ...] = ()
        self._avoided: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        self._weights: Mapping[str, float] = {}

    def handle(self, message: HealthInput, now: float) -> tuple[HealthOutput, ...]:
        """Take one message; return changed weights and a due report."""
        match message:
            case AttemptStarted():
                if message.server_id not in self._ejected:
                    self._roster.start_attempt(message, now)
                return ()
            case AttemptEnded():
                self._end_attempt(message, now)
                if not self._roster.is_suspicious(message.server_id):
                    return ()
            case ServersChanged():
                self._change_servers(message, now)
            case ConfigurePool():
                self._pool = message.pool
            case EjectionsGranted():
                if self._leases.accept(message, now) and message.report_now:
                    self._reports.hurry()
            case HealthTick():
                self._roster.tick(now)
        self._follow_ejections(now)
        scores = self._scores(now)
        self._follow_scores(scores, now)
        return (*self._reweigh(now), *self._report(scores, now))

    def dump(self) -> Mapping[str, object]:
        """Return scores, weights and the lease as JSON-compatible values."""
        return {
            "pool": self._pool.name,
            "observer": self._observer,
            "term": self._leases.term,
            "sequence": self._leases.sequence,
            "lease_expires_at": self._leases.expires_at,
            "ejected": list(self._ejected),
            "avoided": sorted(self._avoided),
            "returning": sorted(self._returned_at),
            "weights": dict(self._weights),
            "scores": self._reports.last_scores(),
        }

    def _end_attempt(self, ended: AttemptEnded, now: float) -> None:
        if ended.server_id in self._ejected:
            # What began before the ejection says nothing about the return.
            self._roster.drop_attempt(ended.ticket)
        else:
            self._roster.end_attempt(ended, now)

    def _change_servers(self, changed: ServersChanged, now: float) -> None:
        self._size.observe(len(changed.servers), now)
        for server_id in self._roster.change(changed.servers, now):
            self._avoided.pop(server_id, None)
            self._returned_at.pop(server_id, None)
        listed = self._roster.servers.keys()
        self._avoided = _only(self._avoided, listed)
        self._returned_at = _only(self._returned_at, listed)

    def _follow_ejections(self, now: float) -> None:
        ejected = tuple(
            ejection.server_id
            for ejection in self._leases.ejections(now)
            if self._roster.is_current(ejection.server_id, ejection.incarnation)
        )
        for server_id in set(self._ejected) - set(ejected):
            self._returned_at[server_id] = now
            self._avoided.pop(server_id, None)
            self._roster.reset(server_id)
        for server_id in set(ejected) - set(self._ejected):
            self._roster.reset(server_id)
        self._ejected = ejected

    def _scores(self, now: float) -> Mapping[str, float]:
        return {
            server_id: score
            for server_id, score in self._roster.scores(now).items()
            if server_id not in self._ejected
        }

    def _follow_scores(self, scores: Mapping[str, float], now: float) -> None:
        for server_id, score in scores.items():
            if score >= SUSPECT_SCORE:
                self._avoided[server_id] = score
        for server_id in list(self._avoided):
            if scores.get(server_id, 0.0) < _TRUSTED_SCORE:
                del self._avoided[server_id]
                self._returned_at[server_id] = now

    def _reweigh(self, now: float) -> tuple[HealthOutput, ...]:
        weights = bounded_weights(self._losses(now), self._allowance(now))
        if weights == self._weights:
            return ()
        self._weights = weights
        return (HealthChanged(tuple(sorted(weights.items()))),)

    def _losses(self, now: float) -> Iterator[Loss]:
        for server_id in self._ejected:
            yield Loss(server_id, 0.0)
        for server_id in sorted(self._avoided, key=self._avoided.__getitem__)[::-1]:
            yield Loss(server_id, AVOIDED_WEIGHT)
        for server_id, returned_at in list(self._returned_at.items()):
            if now - returned_at >= RAMP_S:
                del self._returned_at[server_id]
            else:
                yield Loss(server_id, ramp_weight(now - returned_at))

    def _allowance(self, now: float) -> float:
        """Return how many servers' traffic the floor lets go, as seen from here."""
        servers = self._roster.servers.values()
        ready = sum(server.state is ServerState.READY for server in servers)
        return ready - required_servers(self._pool.floor, self._size.largest(now))

    def _report(
        self, scores: Mapping[str, float], now: float
    ) -> tuple[HealthOutput, ...]:
        if not self._reports.is_due(scores, bool(self._ejected), now):
            return ()
        self._leases.ask(now)
        report = EvidenceReported(
            self._pool.name,
            self._pool.service,
            self._observer,
            now,
            self._leases.term,
            self._leases.sequence,
            self._roster.evidence(scores, now),
        )
        return (report,)


def _only(values: Mapping[str, float], kept: Collection[str]) -> dict[str, float]:
    return {key: value for key, value in values.items() if key in kept}
