"""Floor owner: grants ejections to all observers within each service's floor."""

from collections.abc import Iterable
from collections.abc import Mapping

from pimentobend_core._internal.health.limits import LEASE_S
from pimentobend_core._internal.health.limits import OWNER_LEASE_S
from pimentobend_core._internal.health.limits import TAKEOVER_S
from pimentobend_core._internal.health.messages import ConfigurePools
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import FloorInput
from pimentobend_core._internal.health.messages import FloorOutput
from pimentobend_core._internal.health.messages import FloorTick
from pimentobend_core._internal.health.messages import ObserverLeft
from pimentobend_core._internal.health.messages import OwnershipConfirmed
from pimentobend_core._internal.health.messages import OwnershipLost
from pimentobend_core._internal.health.messages import OwnershipTaken
from pimentobend_core._internal.health.messages import ServiceServersChanged
from pimentobend_core._internal.health.service_ejections import ServiceEjections
from pimentobend_core._internal.pipes import StatefulFilter


class FloorOwner(StatefulFilter[FloorInput, FloorOutput]):
    """Decide the ejections of all services during a term.

    Grants are sent only while a majority has confirmed the term recently
    (``OWNER_LEASE_S``), and not before every lease of an earlier owner has
    expired (``TAKEOVER_S``).
    """

    def __init__(self) -> None:
        self._services: dict[str, ServiceEjections] = {}
        self._floors: Mapping[str, float] = {}
        self._term: int | None = None
        self._grants_from = 0.0
        self._confirmed_at = 0.0

    def handle(self, message: FloorInput, now: float) -> tuple[FloorOutput, ...]:
        """Process one message; return grants and ejection events."""
        match message:
            case OwnershipTaken():
                self._take_over(message.term, now)
            case OwnershipConfirmed():
                self._confirm(message)
            case OwnershipLost():
                self._term = None
            case ConfigurePools():
                return self._configure(message, now)
            case ServiceServersChanged():
                return self._update_servers(message, now)
            case ObserverLeft():
                for service in self._services.values():
                    service.remove_observer(message.observer)
            case EvidenceReported():
                return self._handle_report(message, now)
            case FloorTick():
                return self._update(self._services.values(), now)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the term and all services' ejections as JSON-compatible values."""
        return {
            "term": self._term,
            "grants_from": self._grants_from,
            "confirmed_at": self._confirmed_at,
            "services": {
                name: service.dump() for name, service in self._services.items()
            },
        }

    def _take_over(self, term: int, now: float) -> None:
        self._term = term
        self._grants_from = now + TAKEOVER_S
        self._confirmed_at = now
        for service in self._services.values():
            service.restart()

    def _confirm(self, message: OwnershipConfirmed) -> None:
        if message.term == self._term:
            self._confirmed_at = max(self._confirmed_at, message.confirmed_at)

    def _may_grant(self, now: float) -> bool:
        if self._term is None or now < self._grants_from:
            return False
        return now < self._confirmed_at + OWNER_LEASE_S

    def _service(self, name: str) -> ServiceEjections:
        if name not in self._services:
            floor = self._floors.get(name, 1.0)
            self._services[name] = ServiceEjections(name, floor)
        return self._services[name]

    def _configure(
        self, message: ConfigurePools, now: float
    ) -> tuple[FloorOutput, ...]:
        floors: dict[str, float] = {}
        for pool in message.pools:
            floors[pool.service] = max(pool.floor, floors.get(pool.service, 0.0))
        self._floors = floors
        for name, service in self._services.items():
            service.update_floor(floors.get(name, 1.0))
        return self._update(self._services.values(), now)

    def _update_servers(
        self, message: ServiceServersChanged, now: float
    ) -> tuple[FloorOutput, ...]:
        service = self._service(message.service)
        service.update_servers(message.servers, now)
        return self._update([service], now)

    def _handle_report(
        self, report: EvidenceReported, now: float
    ) -> tuple[FloorOutput, ...]:
        if self._term is None:
            return ()
        service = self._service(report.service)
        service.add_report(report, self._term, now)
        outputs = self._update([service], now)
        if any(isinstance(output, EjectionsGranted) for output in outputs):
            return outputs
        return (*outputs, *self._grants(service, [report], now))

    def _update(
        self, services: Iterable[ServiceEjections], now: float
    ) -> tuple[FloorOutput, ...]:
        if not self._may_grant(now):
            return ()
        outputs: list[FloorOutput] = []
        for service in services:
            before = service.sequence
            outputs.extend(service.update(now))
            should_solicit = service.should_solicit(now)
            if service.sequence != before or should_solicit:
                reports = service.reports(now)
                outputs.extend(self._grants(service, reports, now, should_solicit))
        return tuple(outputs)

    def _grants(
        self,
        service: ServiceEjections,
        reports: Iterable[EvidenceReported],
        now: float,
        should_solicit: bool = False,
    ) -> tuple[FloorOutput, ...]:
        if self._term is None or not self._may_grant(now):
            return ()
        ejections = service.lease(now)
        return tuple(
            EjectionsGranted(
                report.pool,
                report.service,
                report.observer,
                self._term,
                service.sequence,
                report.asked_at,
                LEASE_S,
                ejections,
                should_solicit,
            )
            for report in reports
        )
