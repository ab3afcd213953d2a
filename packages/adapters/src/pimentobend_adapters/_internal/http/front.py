"""Serve callers' requests over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import eventlet
from returns.result import Failure
from returns.result import Result

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_adapters._internal.http.bodies import StreamedBody
from pimentobend_adapters._internal.http.close_watcher import CloseWatch
from pimentobend_adapters._internal.http.close_watcher import CloseWatcher
from pimentobend_adapters._internal.http.close_watcher import interrupt
from pimentobend_adapters._internal.http.headers import OWN_NAMES
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import to_header_value
from pimentobend_adapters._internal.http.protocol import CONNECTION_KEY
from pimentobend_adapters._internal.http.requests import Environ
from pimentobend_adapters._internal.http.requests import check_limits
from pimentobend_adapters._internal.http.requests import declare_length
from pimentobend_adapters._internal.http.requests import parse_request
from pimentobend_adapters._internal.http.stalls import cut_stalled
from pimentobend_adapters._internal.http.stalls import refuse_unread
from pimentobend_adapters._internal.http.writing import StartResponse
from pimentobend_adapters._internal.http.writing import write_answer
from pimentobend_adapters._internal.http.writing import write_refusal
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.memory import NO_MEMORY
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received

RETRY_AFTER_S = 1
_LEFT = "the caller closed its connection"
_ENDING = "the process ends before the request can be served"


class FrontOptions(NamedTuple):
    """Settings of one interface for callers."""

    names: HeaderNames = OWN_NAMES
    caller_service: str = ""  # the service on this machine that sends the requests
    limits: Callable[[], ClientLimits | None] = lambda: None
    watches_callers: bool = False  # end a request once its caller disconnects
    # Returns the organisation that events name as a request's sender.
    name_sender: Callable[[RequestHead], str] = lambda head: head.organisation
    memory: MemoryOwner = MemoryOwner()  # noqa: RUF009


class ProcessEndingError(AdapterError):
    """The process ends; raised in the tasks that read a request's body."""


class CallerLeftError(AdapterError):
    """The caller closed its connection; raised in the task that answers it."""


class CallerFront:
    """WSGI application that passes callers' requests through the request pipe."""

    def __init__(
        self,
        pipe: Filter[Received, Finished],
        clock: ClockPort,
        events: Outlet[RequestEnded],
        options: FrontOptions | None = None,
    ) -> None:
        self._pipe = pipe
        self._clock = clock
        self._events = events
        self._options = options or FrontOptions()
        self._closes = CloseWatcher()
        self._in_flight = 0
        self._reading: set[Any] = set()  # greenlets that read a request's body
        self._is_stopping = False
        self._is_ending = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not fully answered yet."""
        return self._in_flight

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        self._in_flight += 1
        try:
            yield from self._serve(environ, start_response)
        finally:
            self._in_flight -= 1

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        too_large = check_limits(environ, self._options.limits())
        if too_large is not None:
            environ[CONNECTION_KEY].close_connection = True
            yield from self._refuse(too_large, "", start_response)
            return
        length = declare_length(environ)
        reservation = self._options.memory.reserve_request(length)
        if reservation is None:
            refusal = self._refuse(NO_MEMORY, "", start_response)
            yield from refuse_unread(environ, refusal) if length != 0 else refusal
            return
        try:
            answer = self._serve_within(environ, start_response)
            yield from cut_stalled(answer, environ, self._options.memory, self._clock)
        finally:
            reservation.release()

    def _serve_within(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        """Answer a request for whose body memory is reserved."""
        started = self._clock.now()
        received = self._read(environ, started)
        if isinstance(received, Failure):
            # Where the next request begins is not known.
            environ[CONNECTION_KEY].close_connection = True
            yield from self._refuse(received.failure(), "", start_response)
            return
        request = self._set_caller_service(received.unwrap())
        watch = self._watch_caller(environ, request.body)
        is_kept = False
        try:
            yield from self._run(environ, request, watch, start_response)
            is_kept = _is_kept(environ)
        except CallerLeftError:
            get_log().info("answer-cut", request_id=request.head.request_id)
            raise  # the connection is closed, so that the answer looks incomplete
        finally:
            if watch is not None:
                watch.stop()
            if isinstance(request.body, StreamedBody):
                request.body.close(is_connection_kept=is_kept)

    def _run(
        self,
        environ: Environ,
        request: Received,
        watch: CloseWatch | None,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        """Pass a request through the pipe, and answer it unless its caller leaves."""
        if watch is not None:
            request = request._replace(on_caller_left=watch.notify)
        result = self._pipe.apply(request)
        if self._is_stopping and CONNECTION_KEY in environ:
            environ[CONNECTION_KEY].close_connection = True
        if watch is not None and not isinstance(result, Failure):
            handler = eventlet.getcurrent()
            watch.notify(lambda: interrupt(handler, CallerLeftError(_LEFT)))
        yield from self._respond(request, result, start_response)

    def _watch_caller(self, environ: Environ, body: Body) -> CloseWatch | None:
        """Watch the caller's connection; its close may come behind a large body."""
        if not self._options.watches_callers:
            return None
        watch = self._closes.watch(environ["wsgi.input"].get_socket())
        if isinstance(body, StreamedBody):
            body.read_ahead(watch)
        return watch

    def _read(self, environ: Environ, started: float) -> Result[Received, Refusal]:
        greenlet = eventlet.getcurrent()
        self._reading.add(greenlet)
        try:
            if self._is_ending:
                raise ProcessEndingError(_ENDING)
            return parse_request(
                environ, started, self._options.names, self._options.memory
            )
        except ProcessEndingError as error:
            environ[CONNECTION_KEY].close_connection = True
            return Failure(_refuse_unread(error))
        finally:
            self._reading.discard(greenlet)

    def _respond(
        self,
        request: Received,
        result: Result[Finished, Refusal],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        request_id = request.head.request_id
        if isinstance(result, Failure):
            refusal = result.failure()
            self._record(request, refusal.status, refusal.ran, refusal.reason)
            yield from self._refuse(refusal, request_id, start_response)
            return
        finished = result.unwrap()
        status = finished.result.status
        self._record(request, status, finished.ran, None, finished.server_id)
        yield from self._answer(finished, request.head, start_response)

    def _set_caller_service(self, request: Received) -> Received:
        """Set the caller-service header, replacing any value that was sent."""
        name = self._options.names.caller_service
        if not name:
            return request
        headers = tuple(
            (header, value)
            for header, value in request.head.headers
            if header.lower() != name.lower()
        )
        value = to_header_value(self._options.caller_service)
        headers = (*headers, (name, value))
        return request._replace(head=request.head._replace(headers=headers))

    def stop(self) -> None:
        """Close each caller's connection after its next answer."""
        self._is_stopping = True

    def refuse_unread(self) -> None:
        """Refuse the requests whose bodies are not read yet, and all further ones."""
        self._is_ending = True
        for greenlet in self._reading:
            eventlet.spawn_n(self._stop_reading, greenlet)

    def _stop_reading(self, greenlet: Any) -> None:
        if greenlet in self._reading:
            greenlet.throw(ProcessEndingError(_ENDING))

    def _record(
        self,
        request: Received,
        status: int,
        ran: Ran,
        reason: RefusalReason | None,
        server_id: str = "",
    ) -> None:
        head = request.head
        self._events.put(
            RequestEnded(
                request_id=head.request_id,
                organisation=self._options.name_sender(head),
                method=head.method,
                path=head.path,
                status=status,
                ran=ran,
                reason=reason,
                server_id=server_id,
                duration_s=self._clock.now() - head.received_at,
            )
        )

    def _refuse(
        self, refusal: Refusal, request_id: str, start_response: StartResponse
    ) -> Iterator[bytes]:
        yield from write_refusal(
            refusal, request_id, self._options.names, start_response
        )

    def _answer(
        self, finished: Finished, head: RequestHead, start_response: StartResponse
    ) -> Iterator[bytes]:
        yield from write_answer(finished, head, self._options.names, start_response)


def _is_kept(environ: Environ) -> bool:
    """Return whether the caller's connection is used again."""
    connection = environ.get(CONNECTION_KEY)
    return connection is not None and not connection.close_connection


def _refuse_unread(error: ProcessEndingError) -> Refusal:
    reason = RefusalReason.DRAINING
    return Refusal(503, Ran.NOT_RUN, reason, str(error), RETRY_AFTER_S)
