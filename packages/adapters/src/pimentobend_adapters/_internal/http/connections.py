"""Open connections that report a reset as an error, not as an end of file."""

import errno
import socket
import struct
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.green.socket
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import NewConnectionError

from pimentobend_adapters._internal.http.strict_answer import StrictAnswer

# With this SO_LINGER value, close() sends a reset and drops unsent data.
_LINGER_NONE = struct.pack("ii", 1, 0)
# Receive calls in a row after which the other tasks of the process may run.
RECEIVES_PER_TURN = 8


class ResetError(OSError):
    """The peer reset the connection."""


class StrictSocket(GreenSocket):  # type: ignore[misc]
    """Socket that raises ``ResetError`` where eventlet reports an end of file.

    An answer without a length ends when its connection is closed, so a reset
    must not be taken for the end of the answer.
    """

    is_paused = False  # while set, nothing is received
    must_close = False  # no further request may be sent
    _receives = 0

    def _recv_loop(
        self, recv_meth: Callable[..., Any], empty_val: Any, *args: Any
    ) -> Any:
        if self.is_paused:
            raise BlockingIOError(errno.EAGAIN, "receiving is paused")
        self._receives += 1
        if self._receives % RECEIVES_PER_TURN == 0:
            eventlet.sleep(0)  # a receive call with bytes ready does not yield

        def receive(*values: Any) -> Any:
            try:
                return recv_meth(*values)
            except ConnectionResetError as error:
                raise ResetError(errno.EPROTO, "the connection was reset") from error

        return super()._recv_loop(receive, empty_val, *args)


class BoundedAnswer(StrictAnswer):
    """Strict answer that tells its socket of bytes beyond its end.

    They belong to no request, so that the connection is not used again.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._socket = sock

    def _close_conn(self) -> None:
        self._socket.is_paused = True
        try:
            if self.fp.peek(1):
                self._socket.must_close = True
        except OSError:
            self._socket.must_close = True
        finally:
            self._socket.is_paused = False
        super()._close_conn()


class StrictConnection(HTTPConnection):
    """HTTP connection over a ``StrictSocket``."""

    response_class = BoundedAnswer

    def abort(self) -> None:
        """Close with a reset, so that data in flight is not delivered."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.close()

    def _encode_request(self, request: str) -> bytes:
        """Return a request line with the bytes of its target as they came.

        A target is read as Latin-1, one character a byte. The library takes ASCII only.
        """
        return request.encode("latin-1")

    def _new_conn(self) -> Any:
        """Open the connection; raise urllib3's connection errors."""
        try:
            plain = eventlet.green.socket.create_connection(
                (self.host, self.port), self.timeout
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(
                self, f"connecting to {self.host}:{self.port} timed out"
            ) from error
        except OSError as error:
            raise NewConnectionError(
                self, f"cannot connect to {self.host}:{self.port}: {error}"
            ) from error
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        strict = StrictSocket(plain.fd, set_nonblocking=False)
        # Keep a reference: the descriptor is closed once ``plain`` is collected.
        strict.plain = plain
        return strict
