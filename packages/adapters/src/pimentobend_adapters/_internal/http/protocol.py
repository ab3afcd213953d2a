"""Mark the error responses of eventlet's HTTP server as not run."""

import errno
import http.client
from typing import Any

import eventlet.wsgi

from pimentobend_adapters._internal.http.chunks import StrictInput
from pimentobend_adapters._internal.http.framing import resolve_framing
from pimentobend_adapters._internal.http.headers import RAN
from pimentobend_adapters._internal.http.headers import REASON
from pimentobend_adapters._internal.http.heads import CutLineError
from pimentobend_adapters._internal.http.heads import LineReader
from pimentobend_adapters._internal.http.heads import MalformedHeadError
from pimentobend_adapters._internal.http.heads import MalformedLineError
from pimentobend_adapters._internal.http.heads import RequestHeadReader
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason

# environ key of the handler that serves the connection
CONNECTION_KEY = "pimentobend.connection"
# environ key of a function that returns the idle timeout in seconds, or None
IDLE_KEY = "pimentobend.idle"
# environ key of the maximum size of a request's head, in bytes
HEAD_KEY = "pimentobend.head"
# Error responses that eventlet or ``send_error`` writes begin like this.
_LIBRARY_ERROR = b"HTTP/1.0 4"
_LINE_END = b"\r\n"
BAD_REQUEST = 400


class RefusingProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """HTTP/1.1 handler that refuses requests which it cannot parse."""

    def setup(self) -> None:
        """Open the connection's files and wrap the one for output."""
        super().setup()
        self.wfile: Any = _RefusalWriter(self.wfile)

    def _read_request_line(self) -> Any:
        """Wait for a request line within the current idle timeout."""
        idle_s = self.server.environ[IDLE_KEY]()
        if idle_s is not None:
            self.server.keepalive = idle_s
        return super()._read_request_line()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with this handler in it."""
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self
        inner = environ["wsgi.input"]
        body = StrictInput(inner, LineReader(inner.rfile))
        environ["wsgi.input"] = environ["eventlet.input"] = body
        return environ

    def parse_request(self) -> bool:
        """Parse the request line and the headers; refuse those that are not whole."""
        # The library's own reader bounds each line to 8 KB.
        inner = self.rfile.fp
        max_bytes = self.server.environ[HEAD_KEY]
        self.rfile: Any = RequestHeadReader(inner, self.raw_requestline, max_bytes)
        try:
            if not self.raw_requestline.endswith(b"\n"):
                raise CutLineError(errno.EPROTO, "the request line has no end")
            if not self.raw_requestline.endswith(b"\r\n"):
                raise MalformedHeadError("the request line does not end with CR LF")
            if not super().parse_request():
                return False
            # The library replaces several slashes at the start of a target by one.
            self.path = self.requestline.split()[1]
            resolve_framing(self.headers)
        except (CutLineError, MalformedHeadError, MalformedLineError) as error:
            self.send_error(BAD_REQUEST, str(error))
            return False
        return True

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Send an error for a request line or header that cannot be parsed."""
        text = message or http.client.responses.get(code, "Refused")
        self.wfile.write(
            b"HTTP/1.0 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            % (code, text.splitlines()[0].encode("latin-1", "replace"))
        )
        self.close_connection = True


class _RefusalWriter:
    """Add the refusal headers to error responses that eventlet writes itself."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def write(self, data: bytes) -> Any:
        """Write data; add the refusal headers if it is an error response."""
        if not data.startswith(_LIBRARY_ERROR):
            return self._inner.write(data)
        status_line, _, rest = data.partition(_LINE_END)
        headers = (
            f"{RAN}: {Ran.NOT_RUN.value}\r\n"
            f"{REASON}: {RefusalReason.MALFORMED.value}\r\n"
        )
        status_line = status_line.replace(b"HTTP/1.0", b"HTTP/1.1", 1)
        return self._inner.write(status_line + _LINE_END + headers.encode() + rest)
