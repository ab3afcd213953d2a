"""Open connections that tell a reset from an end."""

import errno
import socket
import struct
from collections.abc import Callable
from typing import Any

import eventlet.green.socket
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import NewConnectionError

_LINGER_NONE = struct.pack("ii", 1, 0)


class ResetError(OSError):
    """Report a connection that the peer reset."""


class StrictSocket(GreenSocket):  # type: ignore[misc]
    """Raise ``ResetError`` where the library would report a clean end.

    An answer without a length ends with its connection, so a reset must not
    pass for its end.
    """

    def _recv_loop(
        self, recv_meth: Callable[..., Any], empty_val: Any, *args: Any
    ) -> Any:
        def receive(*values: Any) -> Any:
            try:
                return recv_meth(*values)
            except ConnectionResetError as error:
                raise ResetError(errno.EPROTO, "the connection was reset") from error

        return super()._recv_loop(receive, empty_val, *args)


class StrictConnection(HTTPConnection):
    """Speak HTTP over a ``StrictSocket``."""

    def abort(self) -> None:
        """Close with a reset, so that bytes on their way are not delivered."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.close()

    def _new_conn(self) -> Any:
        """Open the connection; raise an error of urllib3's."""
        try:
            plain = eventlet.green.socket.create_connection(
                (self.host, self.port), self.timeout
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(self, f"no connection to {self.host}") from error
        except OSError as error:
            raise NewConnectionError(self, f"no connection: {error}") from error
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        strict = StrictSocket(plain.fd, set_nonblocking=False)
        strict.plain = plain  # it closes the descriptor once nothing refers to it
        return strict
