"""Send requests to backend servers over kept-alive connections."""

import string
import urllib.parse
from collections.abc import Iterator
from http.client import HTTPException
from typing import Any

import eventlet
import eventlet.green.socket
import urllib3
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_adapters._internal.forwarding.read_ahead import read_chunk
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.connections import ResetError
from pimentobend_adapters._internal.http.connections import StrictConnection
from pimentobend_adapters._internal.http.headers import DEADLINE_MS
from pimentobend_adapters._internal.http.headers import LOAD
from pimentobend_adapters._internal.http.headers import OWN_NAMES
from pimentobend_adapters._internal.http.headers import REQUEST_ID
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_adapters._internal.http.headers import parse_load
from pimentobend_adapters._internal.http.headers import without_hop_by_hop
from pimentobend_adapters._internal.http.heads import CutLineError
from pimentobend_adapters._internal.http.judgement import Exchange
from pimentobend_adapters._internal.http.judgement import Verdict
from pimentobend_adapters._internal.http.judgement import judge
from pimentobend_core._internal.crashes.detection import PROBE_DELAY_S
from pimentobend_core._internal.crashes.detection import SECOND_PROBE_DELAY_S
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import BackendPort
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort

CONNECT_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.25
KEPT_CONNECTIONS = 32  # maximum number of idle connections per server
MIN_REMAINING_S = 0.001  # shortest timeout, also after the deadline
MS_PER_S = 1000


class _Connection(StrictConnection):
    """Connection that counts the requests sent on it."""

    requests_sent = 0
    connected = False

    def connect(self) -> None:
        """Open the connection and reset the count."""
        super().connect()
        self.connected = True
        self.requests_sent = 0

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request and count it."""
        super().request(*args, **kwargs)
        self.requests_sent += 1


class _Pool(urllib3.HTTPConnectionPool):
    """Connection pool of one server."""

    ConnectionCls = _Connection

    def _put_conn(self, conn: Any) -> None:
        """Take back a connection; close it if it must not be used again."""
        socket = None if conn is None else conn.sock
        if socket is not None and socket.must_close:
            conn.close()
        super()._put_conn(conn)


class _StreamedAnswer(AnswerBody):
    """Answer body that is read from its connection as it is passed on."""

    def __init__(self, response: Any, clock: ClockPort, deadline: float) -> None:
        self._response = response
        self._clock = clock
        self._deadline = deadline
        self._is_read = False
        self._is_closed = False

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks; raise AnswerTruncatedError if it is incomplete."""
        try:
            while chunk := read_chunk(self._response, self._clock, self._deadline):
                yield chunk
            # A closed response has no bytes either, though it may not be complete.
            if self._is_closed:
                raise AnswerTruncatedError("the answer was closed before its end")
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            self.close()
            raise AnswerTruncatedError(
                "the answer was truncated", context=type(error).__name__
            ) from error
        self._is_read = True
        self._response.release_conn()

    def close(self) -> None:
        """Close the connection unless the answer was read completely."""
        if not self._is_read:
            self._is_closed = True
            self._response.close()


class BackendClient(BackendPort):
    """Run attempts on backend servers over one connection pool per server."""

    def __init__(self, clock: ClockPort) -> None:
        self._clock = clock
        self._pools: dict[tuple[str, int], _Pool] = {}
        self._running: dict[eventlet.Timeout, Any] = {}  # greenlet of each attempt

    def end_attempts(self) -> None:
        """End the attempts that have no answer's head yet, as at their deadlines."""
        for timeout in self._running:
            eventlet.spawn_n(self._end_attempt, timeout)

    def will_reuse(self, server: Server) -> bool:
        """Return whether the next request would reuse an idle connection."""
        pool = self._pools.get((server.host, server.port))
        idle: list[Any] = [] if pool is None or pool.pool is None else pool.pool.queue
        return bool(idle) and idle[-1] is not None

    def send(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Run one attempt, limited by the deadline of the request."""
        started = self._clock.now()
        remaining_s = max(MIN_REMAINING_S, head.deadline - started)
        timeout = eventlet.Timeout(remaining_s)
        self._running[timeout] = eventlet.getcurrent()
        pool = self._pool(server) if is_repeatable else _create_pool(server)
        try:
            response = _send_request(pool, head, body, remaining_s)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return self._failed(AttemptKind.NO_ANSWER, started)
        except IncompleteBodyError:
            return self._failed(AttemptKind.CANCELLED, started)
        except (HTTPError, HTTPException, OSError) as error:
            # The probes below end by themselves; nothing is thrown into them.
            timeout.cancel()
            self._running.pop(timeout, None)
            failed = self._failed(_classify_error(error), started)
            if not _is_cut_off(error):
                return failed
            return failed._replace(is_broken=True, has_server_ended=_has_ended(server))
        finally:
            timeout.cancel()
            self._running.pop(timeout, None)
            if not is_repeatable:
                pool.close()
        return self._answered(response, head, started)

    def forget(self, server: Server) -> None:
        """Close the idle connections of a server that left."""
        pool = self._pools.pop((server.host, server.port), None)
        if pool is not None:
            pool.close()

    def _end_attempt(self, timeout: eventlet.Timeout) -> None:
        greenlet = self._running.pop(timeout, None)
        if greenlet is not None:
            greenlet.throw(timeout)

    def _pool(self, server: Server) -> _Pool:
        address = (server.host, server.port)
        if address not in self._pools:
            self._pools[address] = _create_pool(server)
        return self._pools[address]

    def _failed(self, kind: AttemptKind, started: float) -> AttemptResult:
        latency_s = self._clock.now() - started
        return AttemptResult(kind, 0, (), None, latency_s, False, None)

    def _answered(
        self, response: Any, head: RequestHead, started: float
    ) -> AttemptResult:
        headers = tuple(response.headers.items())
        connection = response.connection
        was_reused = getattr(connection, "requests_sent", 1) > 1
        exchange = Exchange(head.request_id, response.status, headers, was_reused)
        judgement = judge(exchange, OWN_NAMES)
        if not judgement.may_reuse and connection is not None and connection.sock:
            connection.sock.must_close = True
        body = _StreamedAnswer(response, self._clock, head.deadline)
        if judgement.verdict is Verdict.FOREIGN:
            body.close()
            return self._failed(AttemptKind.TRUNCATED, started)
        is_refused = judgement.verdict is Verdict.REFUSAL
        if is_refused:
            body.close()
        return AttemptResult(
            kind=AttemptKind.REFUSED if is_refused else AttemptKind.ANSWERED,
            status=response.status,
            headers=without_hop_by_hop(headers),
            body=body,
            latency_s=self._clock.now() - started,
            was_reused=was_reused,
            load=parse_load(find_header(headers, LOAD)),
        )


def _create_pool(server: Server) -> _Pool:
    return _Pool(server.host, server.port, maxsize=KEPT_CONNECTIONS)


def _send_request(
    pool: _Pool, head: RequestHead, body: Body, remaining_s: float
) -> Any:
    return pool.urlopen(
        head.method,
        _target(head),
        body=_request_body(body),
        headers=_request_headers(head, body, remaining_s),
        redirect=False,
        retries=False,
        preload_content=False,
        decode_content=False,
        timeout=urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, remaining_s)),
    )


def _classify_error(error: Exception) -> AttemptKind:
    # In urllib3 2 a refused connection is a kind of ConnectTimeoutError as well.
    is_not_connected = isinstance(error, NewConnectionError | ConnectTimeoutError)
    return AttemptKind.NOT_CONNECTED if is_not_connected else AttemptKind.NO_ANSWER


def _is_cut_off(error: Exception) -> bool:
    """Return whether the server closed or reset the connection without an answer."""
    causes = (error, *error.args, error.__cause__)
    is_connected = _classify_error(error) is not AttemptKind.NOT_CONNECTED
    return is_connected and any(
        isinstance(cause, ConnectionError | ResetError | CutLineError)
        for cause in causes
    )


def _has_ended(server: Server) -> bool:
    """Return whether a server refuses a connection, as an ended process does."""
    for delay_s in (PROBE_DELAY_S, SECOND_PROBE_DELAY_S):
        eventlet.sleep(delay_s)
        try:
            eventlet.green.socket.create_connection(
                (server.host, server.port), CONFIRM_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False


def _target(head: RequestHead) -> str:
    """Return the request target, with an escape for each byte beyond ASCII.

    The library would take these bytes for text and escape other ones.
    """
    target = f"{head.path}?{head.query}" if head.query else head.path
    return urllib.parse.quote(target, safe=string.printable, encoding="latin-1")


def _request_body(body: Body) -> Any:
    if body.length == 0:
        return None
    return body.chunks()


def _request_headers(
    head: RequestHead, body: Body, remaining_s: float
) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in without_hop_by_hop(head.headers):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    for name in [n for n in headers if n.lower() == "content-length"]:
        del headers[name]
    if body.length:
        headers["Content-Length"] = str(body.length)
    headers[DEADLINE_MS] = str(int(remaining_s * MS_PER_S))
    headers[REQUEST_ID] = head.request_id
    return headers
