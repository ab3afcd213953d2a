"""Open connections that report a reset as an error, not as an end of file."""

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

# With this SO_LINGER value, close() sends a reset and drops unsent data.
_LINGER_NONE = struct.pack("ii", 1, 0)


class ResetError(OSError):
    """The peer reset the connection."""


class StrictSocket(GreenSocket):  # type: ignore[misc]
    """Socket that raises ``ResetError`` where eventlet reports an end of file.

    An answer without a length ends when its connection is closed, so a reset
    must not be taken for the end of the answer.
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
    """HTTP connection over a ``StrictSocket``."""

    def abort(self) -> None:
        """Close with a reset, so that data in flight is not delivered."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.close()

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
