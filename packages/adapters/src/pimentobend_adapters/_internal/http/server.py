"""Serve WSGI applications over HTTP."""

import io
import socket
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.wsgi

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_adapters._internal.http.heads import MAX_HEAD_BYTES
from pimentobend_adapters._internal.http.protocol import HEAD_KEY
from pimentobend_adapters._internal.http.protocol import IDLE_KEY
from pimentobend_adapters._internal.http.protocol import RefusingProtocol

MAX_CONNECTIONS = 1024
IDLE_TIMEOUT_S = 75.0
BACKLOG = 512
# Write each chunk at once: if the body then ends early, the caller already has the
# status and the headers.
MIN_CHUNK_BYTES = 1


class ListenError(AdapterError):
    """The HTTP server cannot listen on its address."""


class Address(NamedTuple):
    """Host and port of a TCP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class HttpServer:
    """HTTP server on one listening socket."""

    def __init__(
        self,
        address: Address,
        application: Callable[..., Any],
        idle_s: Callable[[], float | None] = lambda: None,
        max_head_bytes: int = MAX_HEAD_BYTES,
        buffer_bytes: int = 0,
    ) -> None:
        try:
            self._socket = eventlet.listen(
                tuple(address), backlog=BACKLOG, reuse_port=False
            )
        except OSError as error:
            raise ListenError(
                "cannot listen for HTTP connections",
                context=f"{address}: {error.strerror}",
                hint="check whether another process listens on this address",
            ) from error
        if buffer_bytes:  # the connections inherit both
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                self._socket.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)
        self._application = application
        self._idle_s = idle_s
        self._max_head_bytes = max_head_bytes
        self._greenlet: Any = None

    @property
    def address(self) -> Address:
        """Return the address in use, with the port that the system chose."""
        return Address(*self._socket.getsockname()[:2])

    def start(self) -> None:
        """Start serving."""
        self._greenlet = eventlet.spawn(self._serve)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._socket.close()

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._socket,
            self._application,
            log=_NullLog(),
            log_output=False,
            max_size=MAX_CONNECTIONS,
            socket_timeout=IDLE_TIMEOUT_S,
            debug=False,
            protocol=RefusingProtocol,
            environ={IDLE_KEY: self._idle_s, HEAD_KEY: self._max_head_bytes},
            url_length_limit=self._max_head_bytes,
            minimum_chunk_size=MIN_CHUNK_BYTES,
        )


class _NullLog(io.StringIO):
    """Discard eventlet's access log; requests are logged as events."""

    def write(self, text: str) -> int:
        """Discard the text."""
        return len(text)
