"""Send requests to the backend servers on this machine."""

import enum
import select
from collections.abc import Callable
from http.client import HTTPException
from typing import Any
from typing import NamedTuple

import eventlet
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.answers import read_answer
from pimentobend_adapters._internal.forwarding.hop import RESULT_HEADER
from pimentobend_adapters._internal.forwarding.requests import send_request
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.connections import StrictConnection
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_adapters._internal.http.headers import without_hop_by_hop
from pimentobend_adapters._internal.http.judgement import Exchange
from pimentobend_adapters._internal.http.judgement import Verdict
from pimentobend_adapters._internal.http.judgement import judge
from pimentobend_adapters._internal.http.strict_answer import is_malformed
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body
from pimentobend_core._internal.ports import ClockPort

CONNECT_TIMEOUT_S = 1.0
KEPT_CONNECTIONS = 8  # maximum number of idle connections per server
IDLE_S = 3.0  # shorter than common keep-alive timeouts of servers
# Requests that must not be repeated reuse only recently used connections, which
# are less likely to be dead without notice.
UNSAFE_IDLE_S = 1.0
MS_PER_S = 1000
MIN_REMAINING_MS = 1
_KINDS = {
    Verdict.ANSWER: AttemptKind.ANSWERED,
    Verdict.REFUSAL: AttemptKind.REFUSED,
}


class _Disposition(enum.Enum):
    """What happens to a connection after a call."""

    KEPT = "kept"
    CLOSED = "closed"
    PASSED_ON = "passed-on"  # closed by the reader of the streamed answer


class _Idle(NamedTuple):
    connection: Any
    idle_since: float  # seconds of the clock


class ServerCalls:
    """Calls the backend servers on this machine over kept-alive connections."""

    def __init__(
        self,
        names: HeaderNames,
        clock: ClockPort,
        on_connect: Callable[[], None],
        memory: MemoryOwner | None = None,
    ) -> None:
        self._memory = memory or MemoryOwner()
        self._names = names
        self._clock = clock
        self._on_connect = on_connect
        self._idle: dict[str, list[_Idle]] = {}

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        """Run one attempt; killing the calling greenlet closes the connection."""
        started = self._clock.now()
        connection = None
        disposition = _Disposition.CLOSED
        try:
            connection, was_reused = self._connect(server, is_repeatable)
            result, disposition = self._exchange(
                connection, was_reused, server, head, body, started
            )
            return result
        except NewConnectionError:
            return self._failed(AttemptKind.NOT_CONNECTED, started)
        except IncompleteBodyError:
            return self._failed(AttemptKind.CANCELLED, started)
        except (HTTPError, HTTPException, EOFError, OSError) as error:
            failed = self._failed(_classify_error(error, connection), started)
            # A server that sends a malformed answer has not crashed.
            is_broken = failed.kind is AttemptKind.NO_ANSWER and not (
                isinstance(error, TimeoutError) or is_malformed(error)
            )
            return failed._replace(is_broken=is_broken)
        finally:
            if connection is not None:
                self._release(server, connection, disposition)

    def is_listening(self, server: Server) -> bool:
        """Return False if a connection to a server is refused."""
        connection = StrictConnection(
            server.host, server.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except NewConnectionError as error:
            return not isinstance(error.__cause__, ConnectionRefusedError)
        except (HTTPError, OSError):
            return True
        finally:
            connection.close()
        return True

    def forget(self, server_id: str) -> None:
        """Close the idle connections of a server that left."""
        for idle in self._idle.pop(server_id, []):
            idle.connection.close()

    def _connect(self, server: Server, is_repeatable: bool) -> tuple[Any, bool]:
        """Return a connection, and whether it has carried an earlier request."""
        limit_s = IDLE_S if is_repeatable else UNSAFE_IDLE_S
        kept = self._idle.get(server.server_id, [])
        while kept:
            idle = kept.pop()
            is_fresh = self._clock.now() - idle.idle_since < limit_s
            if is_fresh and not _is_readable(idle.connection):
                return idle.connection, True
            idle.connection.close()
        connection = StrictConnection(
            server.host, server.port, timeout=CONNECT_TIMEOUT_S
        )
        self._on_connect()
        connection.connect()
        # urllib3 sets this timeout on the socket again before each request.
        connection.timeout = None
        return connection, False

    def _exchange(
        self,
        connection: Any,
        was_reused: bool,
        server: Server,
        head: RequestHead,
        body: Body,
        started: float,
    ) -> tuple[AttemptResult, _Disposition]:
        response = send_request(
            connection, head, body, self._daemon_headers(server, head)
        )
        # Only a daemon may state the result of an attempt.
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() != RESULT_HEADER.lower()
        )
        exchange = Exchange(head.request_id, response.status, headers, was_reused)
        judgement = judge(exchange, self._names)
        if judgement.verdict is Verdict.FOREIGN:
            return self._failed(AttemptKind.TRUNCATED, started), _Disposition.CLOSED
        content, is_whole = read_answer(
            response, connection, self._clock, head.deadline, self._memory
        )
        may_reuse = judgement.may_reuse and not _must_close(
            headers, response, connection
        )
        kind = _KINDS[judgement.verdict]
        result = make_attempt_result(
            kind,
            self._clock.now() - started,
            response.status,
            without_hop_by_hop(headers),
            content,
        )
        if not is_whole:
            return result, _Disposition.PASSED_ON
        return result, _Disposition.KEPT if may_reuse else _Disposition.CLOSED

    def _daemon_headers(self, server: Server, head: RequestHead) -> dict[str, str]:
        """Return the request headers that this daemon sets itself."""
        names = self._names
        headers = {
            names.request_id: head.request_id,
            names.deadline_ms: str(self._remaining_ms(head)),
        }
        if names.expected_server:
            headers[names.expected_server] = server.server_id
        return headers

    def _remaining_ms(self, head: RequestHead) -> int:
        remaining_s = head.deadline - self._clock.now()
        return max(MIN_REMAINING_MS, int(remaining_s * MS_PER_S))

    def _failed(self, kind: AttemptKind, started: float) -> AttemptResult:
        return make_attempt_result(kind, self._clock.now() - started)

    def _release(
        self, server: Server, connection: Any, disposition: _Disposition
    ) -> None:
        if disposition is _Disposition.PASSED_ON:
            return
        kept = self._idle.setdefault(server.server_id, [])
        if disposition is _Disposition.KEPT and len(kept) < KEPT_CONNECTIONS:
            kept.append(_Idle(connection, self._clock.now()))
        else:
            connection.close()


def _classify_error(error: Exception, connection: Any) -> AttemptKind:
    if connection is None:
        return AttemptKind.NOT_CONNECTED
    if type(error).__name__ == "ConnectTimeoutError":
        return AttemptKind.NOT_CONNECTED
    return AttemptKind.NO_ANSWER


def _must_close(headers: Headers, response: Any, connection: Any) -> bool:
    """Return whether a connection ends with an answer, or has bytes beyond it."""
    value = find_header(headers, "Connection") or ""
    raw = getattr(response, "_original_response", None)
    will_close = bool(getattr(raw, "will_close", True))
    has_extra = connection.sock is None or connection.sock.must_close
    return "close" in value.lower() or will_close or has_extra


def _is_readable(connection: Any) -> bool:
    """Return whether an idle connection was closed or has unexpected input."""
    descriptor = connection.sock.fileno()
    if descriptor < 0:
        return True
    poller = eventlet.patcher.original("select").poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))
