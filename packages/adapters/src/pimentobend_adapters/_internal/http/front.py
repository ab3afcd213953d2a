"""Take callers' requests over HTTP and give them their answers."""

import http.client
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from returns.result import Failure

from pimentobend_adapters._internal.http.backend import AnswerTruncatedError
from pimentobend_adapters._internal.http.bodies import CHUNK_BYTES
from pimentobend_adapters._internal.http.headers import RAN
from pimentobend_adapters._internal.http.headers import REASON
from pimentobend_adapters._internal.http.headers import REQUEST_ID
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_adapters._internal.http.requests import Environ
from pimentobend_adapters._internal.http.requests import parse_request
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Finished
from pimentobend_core._internal.request.stages import Received

StartResponse = Callable[..., Any]


class CallerFront:
    """Serve callers as a WSGI application in front of the request pipe."""

    def __init__(
        self,
        pipe: Filter[Received, Finished],
        clock: ClockPort,
        events: Outlet[RequestEnded],
    ) -> None:
        self._pipe = pipe
        self._clock = clock
        self._events = events
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have no whole answer yet."""
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
        started = self._clock.now()
        received = parse_request(environ, started)
        if isinstance(received, Failure):
            yield from _refuse(received.failure(), "", start_response)
            return
        request = received.unwrap()
        request_id = request.head.request_id
        result = self._pipe.apply(request)
        if isinstance(result, Failure):
            refusal = result.failure()
            self._record(request, refusal.status, refusal.ran, refusal.reason)
            yield from _refuse(refusal, request_id, start_response)
            return
        finished = result.unwrap()
        status = finished.attempted.status
        self._record(request, status, finished.ran, None, finished.server_id)
        yield from _answer(finished, request_id, start_response)

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
                organisation=head.organisation,
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
    refusal: Refusal, request_id: str, start_response: StartResponse
) -> Iterator[bytes]:
    content = f"{refusal.detail}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(content))),
        (RAN, refusal.ran.value),
        (REASON, refusal.reason.value),
    ]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(refusal.retry_after_s)))
    start_response(_status_line(refusal.status), headers)
    yield content


def _answer(
    finished: Finished, request_id: str, start_response: StartResponse
) -> Iterator[bytes]:
    body = finished.attempted.body
    assert body is not None
    try:
        pieces = body.chunks()
        start = _read_small(pieces, finished.attempted.headers)
    except AnswerTruncatedError as error:
        body.close()
        refusal = Refusal(502, Ran.RAN, RefusalReason.TRUNCATED, str(error))
        yield from _refuse(refusal, request_id, start_response)
        return
    headers = [*finished.attempted.headers, (REQUEST_ID, request_id)]
    headers.append((RAN, finished.ran.value))
    start_response(_status_line(finished.attempted.status), headers)
    try:
        yield from start
        yield from pieces
    finally:
        body.close()


def _read_small(pieces: Iterator[bytes], headers: Headers) -> list[bytes]:
    """Read an answer of a known small length whole, before its head is sent."""
    length = find_header(headers, "Content-Length")
    if length is None or int(length) > CHUNK_BYTES:
        return []
    return list(pieces)


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
