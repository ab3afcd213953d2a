"""Make the refusals of the HTTP library itself say that nothing ran."""

import http.client
from typing import Any

import eventlet.wsgi

from pimentobend_adapters._internal.http.headers import RAN
from pimentobend_adapters._internal.http.headers import REASON
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason

CONNECTION_KEY = "pimentobend.connection"  # of the handler in the environment
IDLE_KEY = "pimentobend.idle"  # of what returns the idle time in seconds, or None
_LIBRARY_REFUSAL = b"HTTP/1.0 4"
_LINE_END = b"\r\n"


class RefusingProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """Speak HTTP/1.1 with a caller, whose bad requests never reach the pipe."""

    def setup(self) -> None:
        """Open the connection's files."""
        super().setup()
        self.wfile: Any = _RefusalWriter(self.wfile)

    def _read_request_line(self) -> Any:
        """Wait for a request as long as a connection may be idle now."""
        idle_s = self.server.environ[IDLE_KEY]()
        if idle_s is not None:
            self.server.keepalive = idle_s
        return super()._read_request_line()

    def get_environ(self) -> dict[str, Any]:
        """Return the request's environment, with the handler in it."""
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self
        return environ

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Refuse a request line or a header that cannot be read."""
        text = message or http.client.responses.get(code, "Refused")
        self.wfile.write(
            b"HTTP/1.0 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            % (code, text.splitlines()[0].encode("latin-1", "replace"))
        )
        self.close_connection = True


class _RefusalWriter:
    """Add the refusal's headers to what the library writes by itself."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def write(self, data: bytes) -> Any:
        """Write bytes; a refusal of the library gets its headers."""
        if not data.startswith(_LIBRARY_REFUSAL):
            return self._inner.write(data)
        status_line, _, rest = data.partition(_LINE_END)
        headers = (
            f"{RAN}: {Ran.NOT_RUN.value}\r\n"
            f"{REASON}: {RefusalReason.MALFORMED.value}\r\n"
        )
        line = status_line.replace(b"HTTP/1.0", b"HTTP/1.1", 1)
        return self._inner.write(line + _LINE_END + headers.encode() + rest)
