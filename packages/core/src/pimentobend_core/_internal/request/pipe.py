"""Build the request pipe."""

from typing import NamedTuple

from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import LedgerPort
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.request.attempt import AdmissionFilter
from pimentobend_core._internal.request.attempt import AttemptFilter
from pimentobend_core._internal.request.crash_guard import CrashGuardFilter
from pimentobend_core._internal.request.deadline import DeadlineFilter
from pimentobend_core._internal.request.dispatch import DispatchFilter
from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.request.idempotency import IdempotencyFilter
from pimentobend_core._internal.request.judgement import JudgementFilter
from pimentobend_core._internal.request.organisation import OrganisationFilter
from pimentobend_core._internal.request.route import RouteFilter
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.request.suspects import NO_SUSPECTS
from pimentobend_core._internal.request.suspects import BlockedAttemptFilter
from pimentobend_core._internal.request.suspects import GrantedFilter


class RequestPorts(NamedTuple):
    """The ports through which the request pipe uses the rest of the process."""

    clock: ClockPort
    tables: TablesPort
    traffic: TrafficPort
    ledger: LedgerPort
    backend: BackendPort
    retries: RetryPolicy
    organisation_header: str  # states the sender of a forwarded request
    suspects: SuspectsPort = NO_SUSPECTS


def build_request_pipe(ports: RequestPorts) -> Filter[Received, Finished]:
    """Return the filters from a received request to its answer."""
    clock, suspects = ports.clock, ports.suspects
    attempt = (
        BlockedAttemptFilter(suspects, clock)
        .then(AdmissionFilter(ports.traffic))
        .then(GrantedFilter(suspects, ports.traffic, clock))
        .then(AttemptFilter(ports.backend, ports.traffic, suspects))
        .then(JudgementFilter())
    )
    dispatch = DispatchFilter(attempt, ports.retries, ports.clock)
    return (
        DeadlineFilter(ports.clock)
        .then(RouteFilter(ports.tables))
        .then(OrganisationFilter(ports.tables, ports.organisation_header))
        .then(CrashGuardFilter(suspects, clock, uses_route_host=True))
        .then(IdempotencyFilter(ports.ledger, dispatch))
    )
