"""Read the lines of a message's head; a line that was cut off is an error.

``http.client`` takes the end of a connection for the end of a head. What was cut off
in its head would then be a whole message, with headers missing or cut short.
"""

import errno
import http.client
from typing import Any

from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

MAX_LENGTH_DIGITS = 18  # ``int`` rejects numbers of some thousand digits


class CutLineError(OSError):
    """A connection ended within a line, or before one that must follow."""


class MalformedHeadError(http.client.HTTPException):
    """A head has lines, or a length of the body, that cannot be read."""


class LineReader:
    """File whose lines raise ``CutLineError`` if they have no end."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Return a line of at most ``limit_bytes`` bytes."""
        line: bytes = self._inner.readline(limit_bytes)
        if not line.endswith(b"\n") and len(line) != limit_bytes:
            raise CutLineError(errno.EPROTO, "the connection ended within a line")
        return line


def check_head(headers: http.client.HTTPMessage) -> None:
    """Raise ``MalformedHeadError`` if lines or the body's length cannot be read."""
    try:
        assert_header_parsing(headers)
    except HeaderParsingError as error:
        raise MalformedHeadError("a line of the head is no header") from error
    lengths = set(headers.get_all("Content-Length", ()))
    length = "".join(lengths) or "0"
    is_number = length.isascii() and length.isdigit()
    if len(lengths) > 1 or not is_number or len(length) > MAX_LENGTH_DIGITS:
        raise MalformedHeadError("Content-Length is not a single whole number")
