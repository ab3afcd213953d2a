"""Kinds of soak runs: their fleets, callers, faults and checks of answers."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from platform_fleet import CONTROL_INSTANCES
from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import FleetShape
from platform_server import Run
from soak_checks import check_answer
from soak_checks import stop_times
from soak_faults import Fault
from soak_faults import FaultInterval
from soak_faults import ScheduledFault
from soak_faults import make_faults
from soak_faults import make_schedule
from soak_routes import make_routes
from soak_series import ANSWERABLE
from soak_series import OUTLASTING
from soak_series import make_series
from soak_series import make_series_faults
from soak_traffic import BusyCaller
from soak_traffic import Caller
from soak_traffic import ConfigurationChange
from soak_traffic import LastingCaller
from soak_traffic import RequestRecord
from soak_waves import Targets

CALLERS_PER_INSTANCE = 3
MAX_LASTING_CALLERS = 100  # but two for each instance, so that one core bears them
# Faults that ended less than this before a request may still have cut it off.
FAULT_AFTERMATH_S = 2.0
PLATFORM_GRACE_S = 6.0
REPEATS_EVERY = 40  # answers of a server after which it repeats an earlier one
RETRY_BUDGET_RATIO = 0.2  # the default of the daemon's settings
RETRY_BUDGET_ALLOWANCE = 60  # retries; the daemon's default is 50 in 10 s
RETRY_BUDGET_WINDOW_S = 10.0
SLOTS = 4


class Evidence(NamedTuple):
    """What callers, servers and the injected faults showed in a run."""

    records: Sequence[RequestRecord]
    runs: Mapping[str, Sequence[Run]]  # by the request's id
    faults: Sequence[FaultInterval]
    changes: Sequence[ConfigurationChange] = ()


class SoakKind(abc.ABC):
    """Kind of a soak run."""

    shape: FleetShape

    @abc.abstractmethod
    def make_callers(self, fleet: Fleet, seed: int) -> Sequence[Caller]:
        """Return the callers of a fleet, and prepare its servers for them."""

    @abc.abstractmethod
    def make_routes(self, label: int) -> dict[str, Any]:
        """Return the routes of a version of the configuration."""

    def make_tenants(self, label: int) -> dict[str, Any] | None:
        """Return the organisations of a version, None without any."""
        return None

    @abc.abstractmethod
    def make_faults(self) -> dict[str, Fault]:
        """Return new faults for one run, by name."""

    @abc.abstractmethod
    def make_schedule(
        self, seed: int, seconds: float, fleet: Fleet
    ) -> tuple[ScheduledFault, ...]:
        """Return the faults to inject for a seed, in order of their start."""

    @abc.abstractmethod
    def check_answers(self, evidence: Evidence, fleet: Fleet) -> list[str]:
        """Return the violations by requests that ended without their answer."""

    @abc.abstractmethod
    def retry_limit(self, records: Sequence[RequestRecord]) -> float:
        """Return the number of retries that may run."""


class SingleFaults(SoakKind):
    """Faults of all kinds, one at a time for each process."""

    def __init__(self, instances: int = 2, servers_per_service: int = 2) -> None:
        del servers_per_service  # all servers are of one service
        self.shape = FleetShape(instances)

    def make_callers(self, fleet: Fleet, seed: int) -> Sequence[Caller]:
        """Return the callers of a fleet; its servers repeat earlier answers."""
        for process in fleet.instances:
            if process.server is not None:
                process.server.repeats_every = REPEATS_EVERY
        return [
            BusyCaller(process, number, seed)
            for process in fleet.instances
            for number in range(CALLERS_PER_INSTANCE)
        ]

    def make_routes(self, label: int) -> dict[str, Any]:
        """Return the same routes for all versions."""
        return ROUTES

    def make_faults(self) -> dict[str, Fault]:
        """Return new faults for one run, by name."""
        return make_faults()

    def make_schedule(
        self, seed: int, seconds: float, fleet: Fleet
    ) -> tuple[ScheduledFault, ...]:
        """Return the faults to inject for a seed, in order of their start."""
        are_control = tuple(process.is_control for process in fleet.processes)
        return make_schedule(seed, seconds, are_control, self.make_faults())

    def check_answers(self, evidence: Evidence, fleet: Fleet) -> list[str]:
        """Return the requests that ran and that only a shutdown can have cut off."""
        return [
            f"request ran but a shutdown cut it off: {record}"
            for record in evidence.records
            if record.answer.status == 0
            and evidence.runs.get(record.request_id)
            and _is_cut_by_stop(record, evidence.faults)
        ]

    def retry_limit(self, records: Sequence[RequestRecord]) -> float:
        """Return the number of retries that may run."""
        return RETRY_BUDGET_ALLOWANCE + RETRY_BUDGET_RATIO * len(records)


class SeriesOfStops(SoakKind):
    """Planned work in series that overlap, on a fleet of any size.

    No server works longer than the grace time of the daemon beside it.
    """

    terms = ANSWERABLE

    def __init__(self, instances: int = 6, servers_per_service: int = 2) -> None:
        names = ["shop", *(f"shop-{number}" for number in range(2, instances + 1))]
        services = tuple(names[: max(1, instances // servers_per_service)])
        self.shape = FleetShape(
            instances, services, PLATFORM_GRACE_S, SLOTS, has_server_proxies=False
        )

    def make_callers(self, fleet: Fleet, seed: int) -> Sequence[Caller]:
        """Return callers that send requests to all services."""
        per_instance = min(
            CALLERS_PER_INSTANCE, max(2, MAX_LASTING_CALLERS // self.shape.instances)
        )
        return [
            LastingCaller(
                process, number, seed, self.shape.services, self.terms.max_hold_s
            )
            for process in fleet.instances
            for number in range(per_instance)
        ]

    def make_routes(self, label: int) -> dict[str, Any]:
        """Return the routes of all services, which change with each version."""
        return make_routes(self.shape.services, label)

    def make_faults(self) -> dict[str, Fault]:
        """Return new faults for one run, by name."""
        return make_series_faults(self.terms)

    def make_schedule(
        self, seed: int, seconds: float, fleet: Fleet
    ) -> tuple[ScheduledFault, ...]:
        """Return the faults to inject for a seed, in order of their start."""
        count = len(fleet.processes)
        targets = Targets(
            tuple(range(CONTROL_INSTANCES)),
            tuple(range(CONTROL_INSTANCES, count)),
            self.shape.grace_s,
        )
        return make_series(seed, seconds, targets, self.terms)

    def check_answers(self, evidence: Evidence, fleet: Fleet) -> list[str]:
        """Return the requests that were lost, given up, denied or held too long."""
        stops = {
            process.ip: stop_times(process, self.shape.grace_s)
            for process in fleet.instances
        }
        host_stops = {
            process.server.address: stops[process.ip]
            for process in fleet.instances
            if process.server is not None
        }
        return [
            violation
            for record in evidence.records
            for violation in check_answer(
                record,
                evidence.runs.get(record.request_id, ()),
                stops[record.process.ip],
                host_stops,
            )
        ]

    def retry_limit(self, records: Sequence[RequestRecord]) -> float:
        """Return the number of retries that may run, in windows that overlap."""
        lasted_s = max(record.ended_at for record in records) - records[0].started_at
        windows = 2 + lasted_s // RETRY_BUDGET_WINDOW_S
        allowance = RETRY_BUDGET_ALLOWANCE * windows * len(self.shape.services)
        return allowance + RETRY_BUDGET_RATIO * len(records)


class SeriesOfLongRequests(SeriesOfStops):
    """The same with servers that work longer than that, or never answer."""

    terms = OUTLASTING


def _is_cut_by_stop(record: RequestRecord, faults: Sequence[FaultInterval]) -> bool:
    """Return whether only a shutdown of its process can have cut a request off.

    This needs a direct connection, and no other fault during the request or
    shortly before it.
    """
    since = record.started_at - FAULT_AFTERMATH_S
    overlapping = [
        interval
        for interval in faults
        if interval.started_at < record.ended_at and interval.ended_at > since
    ]
    return (
        record.is_direct
        and len(overlapping) == 1
        and overlapping[0].fault == "stop"
        and overlapping[0].process is record.process
        and record.started_at < overlapping[0].started_at
    )
