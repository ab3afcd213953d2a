"""Acquire a slot for an attempt and send the request to its server."""

import itertools

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.request.stages import Admitted
from pimentobend_core._internal.request.stages import EndedAttempt
from pimentobend_core._internal.request.stages import PendingAttempt
from pimentobend_core._internal.traffic.messages import Acquire


class AdmissionFilter(Filter[PendingAttempt, Admitted]):
    """Acquires a slot of a backend server that the pool selects."""

    def __init__(self, traffic: TrafficPort) -> None:
        self._traffic = traffic
        self._tickets = itertools.count(1)

    def apply(self, value: PendingAttempt) -> Result[Admitted, Refusal]:
        """Return the request with its server, or the refusal if no slot was granted."""
        request = value.request
        ticket = next(self._tickets)
        message = Acquire(
            ticket=ticket,
            route=request.route.name,
            organisation=request.head.organisation,
            deadline=request.head.deadline,
            repeatable=request.route.repeatable,
            excluded=frozenset(value.tried),
            is_retry=bool(value.tried),
        )
        granted = self._traffic.acquire(request.route.pool, message)
        return granted.map(lambda grant: Admitted(request, ticket, grant.server))


class AttemptFilter(Filter[Admitted, EndedAttempt]):
    """Sends the request to its server and reports the start and end of the attempt."""

    def __init__(
        self, backend: BackendPort, traffic: TrafficPort, suspects: SuspectsPort
    ) -> None:
        self._backend = backend
        self._traffic = traffic
        self._suspects = suspects

    def apply(self, value: Admitted) -> Result[EndedAttempt, Refusal]:
        """Return the ended attempt; this filter never refuses."""
        request = value.request
        is_repeatable = request.route.repeatable
        self._traffic.started(
            request.route.pool,
            AttemptStarted(
                ticket=value.ticket,
                route=request.route.name,
                server_id=value.server.server_id,
                was_reused=is_repeatable and self._backend.will_reuse(value.server),
            ),
        )
        run = Run(value.ticket, request.fingerprint, value.server)
        self._suspects.started(run, request.head)
        result = self._backend.send(
            value.server, request.head, request.body, is_repeatable
        )
        self._traffic.ended(
            AttemptEnded(
                ticket=value.ticket,
                pool=request.route.pool,
                route=request.route.name,
                server_id=value.server.server_id,
                kind=result.kind,
                status=result.status,
                latency_s=result.latency_s,
                was_reused=result.was_reused,
                load=result.load,
            )
        )
        self._suspects.ended(run, result)
        return Success(EndedAttempt(request, value.server, result))
