"""Health checking of a pool's backend servers by one daemon (an observer)."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

from pimentobend_core._internal.health.capacity import PeakServerCount
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.health.leases import LeasedEjections
from pimentobend_core._internal.health.limits import SUSPECT_SCORE
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import HealthInput
from pimentobend_core._internal.health.messages import HealthOutput
from pimentobend_core._internal.health.messages import HealthTick
from pimentobend_core._internal.health.pool_records import PoolRecords
from pimentobend_core._internal.health.reports import ReportSchedule
from pimentobend_core._internal.health.weights import AVOIDED_WEIGHT
from pimentobend_core._internal.health.weights import RAMP_S
from pimentobend_core._internal.health.weights import WeightReduction
from pimentobend_core._internal.health.weights import bounded_weights
from pimentobend_core._internal.health.weights import ramp_weight
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import ConfigurePool
from pimentobend_core._internal.traffic.messages import HealthChanged
from pimentobend_core._internal.traffic.messages import ServersChanged

_TRUSTED_SCORE = 0.3  # below this score an avoided server is used again


class PoolHealth(StatefulFilter[HealthInput, HealthOutput]):
    """Score a pool's servers from one daemon's attempts and set their weights.

    ``observer`` is the daemon's instance id. A server gets the weight 0 only
    under a lease from the floor owner. On its own evidence the daemon reduces
    a weight to a tenth at the least (``AVOIDED_WEIGHT``). All reductions
    together never take more capacity than the floor allows.
    """

    def __init__(self, pool: Pool, observer: str) -> None:
        self._pool = pool
        self._observer = observer
        self._records = PoolRecords()
        self._leases = LeasedEjections()
        self._schedule = ReportSchedule()
        self._peak_count = PeakServerCount()
        self._ejected: tuple[str, ...] = ()
        self._avoided: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        self._weights: Mapping[str, float] = {}

    def handle(self, message: HealthInput, now: float) -> tuple[HealthOutput, ...]:
        """Process one message; return changed weights and a report if one is due."""
        match message:
            case AttemptStarted():
                if message.server_id not in self._ejected:
                    self._records.start_attempt(message, now)
                return ()
            case AttemptEnded():
                self._end_attempt(message, now)
                if not self._records.is_suspicious(message.server_id):
                    return ()
            case ServersChanged():
                self._update_servers(message, now)
            case ConfigurePool():
                self._pool = message.pool
            case EjectionsGranted():
                if self._leases.accept(message, now) and message.report_now:
                    self._schedule.report_now()
            case HealthTick():
                self._records.tick(now)
        self._apply_ejections(now)
        scores = self._scores(now)
        self._update_avoided(scores, now)
        return (*self._update_weights(now), *self._due_report(scores, now))

    def dump(self) -> Mapping[str, object]:
        """Return scores, weights and lease as JSON-compatible values."""
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
            "scores": self._schedule.last_scores(),
        }

    def _end_attempt(self, ended: AttemptEnded, now: float) -> None:
        if ended.server_id in self._ejected:
            # An attempt from before the ejection must not count against the
            # server after its return.
            self._records.drop_attempt(ended.ticket)
        else:
            self._records.end_attempt(ended, now)

    def _update_servers(self, changed: ServersChanged, now: float) -> None:
        self._peak_count.observe(len(changed.servers), now)
        for server_id in self._records.update_servers(changed.servers, now):
            self._avoided.pop(server_id, None)
            self._returned_at.pop(server_id, None)
        listed = self._records.servers.keys()
        self._avoided = _filter_keys(self._avoided, listed)
        self._returned_at = _filter_keys(self._returned_at, listed)

    def _apply_ejections(self, now: float) -> None:
        ejected = tuple(
            ejection.server_id
            for ejection in self._leases.ejections(now)
            if self._records.is_current(ejection.server_id, ejection.incarnation)
        )
        for server_id in set(self._ejected) - set(ejected):
            self._returned_at[server_id] = now
            self._avoided.pop(server_id, None)
            self._records.reset(server_id)
        for server_id in set(ejected) - set(self._ejected):
            self._records.reset(server_id)
        self._ejected = ejected

    def _scores(self, now: float) -> Mapping[str, float]:
        return {
            server_id: score
            for server_id, score in self._records.scores(now).items()
            if server_id not in self._ejected
        }

    def _update_avoided(self, scores: Mapping[str, float], now: float) -> None:
        for server_id, score in scores.items():
            if score >= SUSPECT_SCORE:
                self._avoided[server_id] = score
        for server_id in list(self._avoided):
            if scores.get(server_id, 0.0) < _TRUSTED_SCORE:
                del self._avoided[server_id]
                self._returned_at[server_id] = now

    def _update_weights(self, now: float) -> tuple[HealthOutput, ...]:
        weights = bounded_weights(
            self._weight_reductions(now), self._spare_servers(now)
        )
        if weights == self._weights:
            return ()
        self._weights = weights
        return (HealthChanged(tuple(sorted(weights.items()))),)

    def _weight_reductions(self, now: float) -> Iterator[WeightReduction]:
        """Yield reductions by priority: ejected, avoided, returning servers."""
        for server_id in self._ejected:
            yield WeightReduction(server_id, 0.0)
        for server_id in sorted(self._avoided, key=self._avoided.__getitem__)[::-1]:
            yield WeightReduction(server_id, AVOIDED_WEIGHT)
        for server_id, returned_at in list(self._returned_at.items()):
            if now - returned_at >= RAMP_S:
                del self._returned_at[server_id]
            else:
                yield WeightReduction(server_id, ramp_weight(now - returned_at))

    def _spare_servers(self, now: float) -> float:
        """Return how many ready servers this daemon sees beyond the floor."""
        servers = self._records.servers.values()
        ready = sum(server.state is ServerState.READY for server in servers)
        return ready - required_servers(self._pool.floor, self._peak_count.peak(now))

    def _due_report(
        self, scores: Mapping[str, float], now: float
    ) -> tuple[HealthOutput, ...]:
        if not self._schedule.is_due(scores, bool(self._ejected), now):
            return ()
        self._leases.record_report(now)
        report = EvidenceReported(
            self._pool.name,
            self._pool.service,
            self._observer,
            now,
            self._leases.term,
            self._leases.sequence,
            self._records.evidence(scores, now),
        )
        return (report,)


def _filter_keys(
    values: Mapping[str, float], keys: Collection[str]
) -> dict[str, float]:
    return {key: value for key, value in values.items() if key in keys}
