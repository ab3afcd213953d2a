"""Acquire a slot for an attempt and send the request to its server."""

import itertools
from collections.abc import Iterator

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.request.stages import Admitted
from pimentobend_core._internal.request.stages import EndedAttempt
from pimentobend_core._internal.request.stages import PendingAttempt
from pimentobend_core._internal.traffic.messages import Acquire

_LOST = AttemptResult(AttemptKind.NO_ANSWER, 0, (), None, 0.0, False, None)


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
        try:
            result = self._backend.send(
                value.server, request.head, request.body, is_repeatable
            )
        except BaseException:
            # The handler was ended, or the client has a fault: free the slot as well.
            self._report_end(value, _LOST)
            self._suspects.ended(run, _LOST)
            raise
        self._report_end(value, result)
        if result.kind is AttemptKind.ANSWERED and result.body is not None:
            body = _ObservedAnswer(result.body, self._suspects, run, result)
            result = result._replace(body=body)
        else:
            self._suspects.ended(run, result)
        return Success(EndedAttempt(request, value.server, result))

    def _report_end(self, value: Admitted, result: AttemptResult) -> None:
        request = value.request
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


class _ObservedAnswer(AnswerBody):
    """Answer body that reports the end of its run once it was read, or closed.

    A server may still crash by a request while it sends the answer, so only an answer
    that was read to its end counts as one.
    """

    def __init__(
        self,
        inner: AnswerBody,
        suspects: SuspectsPort,
        run: Run,
        result: AttemptResult,
    ) -> None:
        self._inner = inner
        self._suspects = suspects
        self._run = run
        self._result = result
        self._has_ended = False

    def chunks(self) -> Iterator[bytes]:
        """Yield the chunks; raise if the answer ends early."""
        yield from self._inner.chunks()
        self._end(AttemptKind.ANSWERED)

    def close(self) -> None:
        """Release the connection, or close it if the answer was not read to its end."""
        self._inner.close()
        self._end(AttemptKind.TRUNCATED)

    def _end(self, kind: AttemptKind) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._suspects.ended(self._run, self._result._replace(kind=kind))
