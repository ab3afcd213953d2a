"""Open connections that tell a reset from an end."""

import errno
from collections.abc import Callable
from typing import Any

from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection


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

    def _new_conn(self) -> Any:
        """Open the connection."""
        plain: Any = super()._new_conn()
        return StrictSocket(plain.fd, set_nonblocking=False)
