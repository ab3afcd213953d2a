"""Grant ejections for the whole fleet and keep every service's floor."""

from collections.abc import Iterable
from collections.abc import Mapping

from pimentobend_core._internal.health.account import ServiceAccount
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
from pimentobend_core._internal.pipes import StatefulFilter


class FloorOwner(StatefulFilter[FloorInput, FloorOutput]):
    """Own the ejections of all services during a term.

    Grants only while a majority has lately confirmed the term, and not before
    every lease of an earlier owner has expired.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, ServiceAccount] = {}
        self._floors: Mapping[str, float] = {}
        self._term: int | None = None
        self._grants_from = 0.0
        self._confirmed_at = 0.0

    def handle(self, message: FloorInput, now: float) -> tuple[FloorOutput, ...]:
        """Take one message; return grants and records of ejections."""
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
                return self._change_servers(message, now)
            case ObserverLeft():
                for account in self._accounts.values():
                    account.forget_observer(message.observer)
            case EvidenceReported():
                return self._take_evidence(message, now)
            case FloorTick():
                return self._settle(self._accounts.values(), now)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the term and every service's ejections."""
        return {
            "term": self._term,
            "grants_from": self._grants_from,
            "confirmed_at": self._confirmed_at,
            "services": {
                service: account.dump() for service, account in self._accounts.items()
            },
        }

    def _take_over(self, term: int, now: float) -> None:
        self._term = term
        self._grants_from = now + TAKEOVER_S
        self._confirmed_at = now
        for account in self._accounts.values():
            account.restart()

    def _confirm(self, message: OwnershipConfirmed) -> None:
        if message.term == self._term:
            self._confirmed_at = max(self._confirmed_at, message.confirmed_at)

    def _may_grant(self, now: float) -> bool:
        if self._term is None or now < self._grants_from:
            return False
        return now < self._confirmed_at + OWNER_LEASE_S

    def _account(self, service: str) -> ServiceAccount:
        if service not in self._accounts:
            floor = self._floors.get(service, 1.0)
            self._accounts[service] = ServiceAccount(service, floor)
        return self._accounts[service]

    def _configure(
        self, message: ConfigurePools, now: float
    ) -> tuple[FloorOutput, ...]:
        floors: dict[str, float] = {}
        for pool in message.pools:
            floors[pool.service] = max(pool.floor, floors.get(pool.service, 0.0))
        self._floors = floors
        for service, account in self._accounts.items():
            account.change_floor(floors.get(service, 1.0))
        return self._settle(self._accounts.values(), now)

    def _change_servers(
        self, message: ServiceServersChanged, now: float
    ) -> tuple[FloorOutput, ...]:
        account = self._account(message.service)
        account.change_servers(message.servers, now)
        return self._settle([account], now)

    def _take_evidence(
        self, report: EvidenceReported, now: float
    ) -> tuple[FloorOutput, ...]:
        if self._term is None:
            return ()
        account = self._account(report.service)
        account.take_report(report, self._term, now)
        records = self._settle([account], now)
        if any(isinstance(record, EjectionsGranted) for record in records):
            return records
        return (*records, *self._grants(account, [report], now))

    def _settle(
        self, accounts: Iterable[ServiceAccount], now: float
    ) -> tuple[FloorOutput, ...]:
        if not self._may_grant(now):
            return ()
        outputs: list[FloorOutput] = []
        for account in accounts:
            before = account.sequence
            outputs.extend(account.settle(now))
            should_solicit = account.should_solicit(now)
            if account.sequence != before or should_solicit:
                reports = account.reports(now)
                outputs.extend(self._grants(account, reports, now, should_solicit))
        return tuple(outputs)

    def _grants(
        self,
        account: ServiceAccount,
        reports: Iterable[EvidenceReported],
        now: float,
        should_solicit: bool = False,
    ) -> tuple[FloorOutput, ...]:
        if self._term is None or not self._may_grant(now):
            return ()
        ejections = account.lease(now)
        return tuple(
            EjectionsGranted(
                report.pool,
                report.service,
                report.observer,
                self._term,
                account.sequence,
                report.asked_at,
                LEASE_S,
                ejections,
                should_solicit,
            )
            for report in reports
        )
