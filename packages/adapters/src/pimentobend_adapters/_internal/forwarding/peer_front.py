"""Serve the attempts that other daemons send for this daemon's servers."""

import http.client
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import eventlet

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.hop import RESULT_HEADER
from pimentobend_adapters._internal.forwarding.hop import SUBMIT_HEADER
from pimentobend_adapters._internal.forwarding.hop import HopError
from pimentobend_adapters._internal.forwarding.hop import HopRequest
from pimentobend_adapters._internal.forwarding.hop import HopResult
from pimentobend_adapters._internal.forwarding.hop import decode_submit
from pimentobend_adapters._internal.forwarding.hop import encode_hop
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.http.bodies import StreamedBody
from pimentobend_adapters._internal.http.bodies import read_body
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.close_watcher import CloseWatcher
from pimentobend_adapters._internal.http.close_watcher import interrupt
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_adapters._internal.http.protocol import CONNECTION_KEY
from pimentobend_adapters._internal.http.requests import Environ
from pimentobend_adapters._internal.http.requests import declare_length
from pimentobend_adapters._internal.http.requests import get_content_length
from pimentobend_adapters._internal.http.requests import get_headers
from pimentobend_adapters._internal.http.stalls import refuse_unread
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.memory import Reservation
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.memory.budget import held_bytes
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort

# An attempt is withdrawn if its origin does not reconnect within this time.
RECONNECT_S = 0.25
MS_PER_S = 1000
WRONG_PROCESS = "wrong-process"
BROKEN_REQUEST = "broken-request"
_LOST = "the connection to the origin was lost"

StartResponse = Callable[..., Any]


class _OriginLostError(AdapterError):
    """The connection to the daemon that sent an attempt was lost."""


class PeerFront:
    """WSGI application that runs attempts for other daemons."""

    def __init__(
        self,
        process_id: int,
        host: HostTasks,
        names: HeaderNames,
        clock: ClockPort,
        memory: MemoryOwner | None = None,
    ) -> None:
        self._memory = memory or MemoryOwner()
        self._process_id = process_id
        self._host = host
        self._names = names
        self._clock = clock
        self._closes = CloseWatcher()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of attempts whose answers are not fully written yet."""
        return self._in_flight

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run an attempt, or return the result of one that was sent before."""
        self._in_flight += 1
        try:
            yield from self._answer(environ, start_response)
        finally:
            self._in_flight -= 1

    def _answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        """Refuse an attempt unread, or serve it.

        A copy of a known attempt is never declined: its origin takes a decline as the
        promise that the attempt has not run.
        """
        length = declare_length(environ)
        try:
            hop = decode_submit(environ.get("HTTP_PIMENTOBEND_HOP") or "")
        except HopError:
            result = HopResult(AttemptKind.CANCELLED, BROKEN_REQUEST)
            yield from _refuse(environ, length, result, start_response)
            return
        if hop.process_id != self._process_id:
            result = HopResult(AttemptKind.DECLINED, WRONG_PROCESS)
            yield from _refuse(environ, length, result, start_response)
            return
        reservation = self._reserve(hop, length)
        if reservation is None:
            # An earlier copy that is still on its way must not run any more.
            self._host.withdraw(hop.attempt_id)
            result = HopResult(AttemptKind.DECLINED, RefusalReason.NO_MEMORY.value)
            yield from _refuse(environ, length, result, start_response)
            return
        try:
            yield from self._serve(environ, hop, start_response)
        finally:
            reservation.release()

    def _reserve(self, hop: HopRequest, length: int | None) -> Reservation | None:
        """Reserve memory for an attempt; for a known one also beyond the limit."""
        if not self._host.knows(hop.attempt_id):
            return self._memory.reserve_request(length)
        reservation = self._memory.open()
        reservation.change(held_bytes(length))
        return reservation

    def _serve(
        self, environ: Environ, hop: HopRequest, start_response: StartResponse
    ) -> Iterator[bytes]:
        source = environ["wsgi.input"]
        connection = environ[CONNECTION_KEY]
        try:
            body = read_body(source, get_content_length(environ), self._memory)
        except IncompleteBodyError:
            connection.close_connection = True
            result = HopResult(AttemptKind.CANCELLED, BROKEN_REQUEST)
            yield from _write_result(result, start_response)
            return
        is_kept = False
        handler = eventlet.getcurrent()
        watch = self._closes.watch(source.get_socket())
        try:
            watch.notify(lambda: interrupt(handler, _OriginLostError(_LOST)))
            attempt_result = self._run(self._read_attempt(environ, hop, body))
            if attempt_result is None:
                connection.close_connection = True
                return
            yield from _write_attempt_result(attempt_result, start_response)
            is_kept = not connection.close_connection
        finally:
            watch.stop()
            if isinstance(body, StreamedBody):
                body.close(is_connection_kept=is_kept)

    def _run(self, attempt: LocalAttempt) -> AttemptResult | None:
        """Return an attempt's result, or None if its origin's connection is lost."""
        try:
            return self._host.run(attempt)
        except _OriginLostError:
            attempt_id = attempt.submit.attempt_id
            eventlet.spawn_after(RECONNECT_S, self._withdraw_if_unclaimed, attempt_id)
            return None

    def _read_attempt(
        self, environ: Environ, hop: HopRequest, body: Body
    ) -> LocalAttempt:
        now = self._clock.now()
        deadline = now + hop.remaining_ms / MS_PER_S
        headers = tuple(
            (name, value)
            for name, value in get_headers(environ)
            if name.lower() != SUBMIT_HEADER.lower()
        )
        request_id = find_header(headers, self._names.request_id) or ""
        submit = Submit(
            hop.attempt_id,
            hop.server_id,
            hop.route,
            hop.priority,
            hop.is_repeatable,
            hop.target_latency_ms / MS_PER_S,
            deadline,
            request_id,
            hop.is_repeat,
            hop.fingerprint,
            hop.crash_reports,
            Sender(hop.is_from_client, hop.repeat_share, hop.is_call),
            hop.organisation,
            hop.is_copy,
            hop.demand,
        )
        head = RequestHead(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST") or "",
            path=environ["RAW_PATH_INFO"],
            query=environ.get("QUERY_STRING") or "",
            headers=headers,
            organisation="",
            idempotency_key=None,
            received_at=now,
            deadline=deadline,
        )
        return LocalAttempt(submit, head, body)

    def _withdraw_if_unclaimed(self, attempt_id: str) -> None:
        if not self._host.has_waiters(attempt_id):
            self._host.withdraw(attempt_id)


def _refuse(
    environ: Environ,
    length: int | None,
    result: HopResult,
    start_response: StartResponse,
) -> Iterator[bytes]:
    """Yield the result of an attempt whose body is not read."""
    refusal = _write_result(result, start_response)
    yield from refuse_unread(environ, refusal) if length != 0 else refusal


def _write_result(result: HopResult, start_response: StartResponse) -> Iterator[bytes]:
    headers = [(RESULT_HEADER, encode_hop(result)), ("Content-Length", "0")]
    start_response("200 OK", headers)
    yield b""


def _write_attempt_result(
    result: AttemptResult, start_response: StartResponse
) -> Iterator[bytes]:
    body = result.body
    if body is None:
        reason = find_header(result.headers, "reason") or ""
        hop_result = HopResult(
            result.kind, reason, result.crash_reports, result.blocked_s
        )
        yield from _write_result(hop_result, start_response)
        return
    headers = [
        (name, value)
        for name, value in result.headers
        if name.lower() != "content-length"
    ]
    headers.append((RESULT_HEADER, encode_hop(HopResult(result.kind, ""))))
    if isinstance(body, BufferedAnswer):
        headers.append(("Content-Length", str(body.length)))
    reason = http.client.responses.get(result.status, "Unknown")
    start_response(f"{result.status} {reason}", headers)
    try:
        yield from body.chunks()
    finally:
        body.close()
