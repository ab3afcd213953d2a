"""Read the lines of a message's head; a line that was cut off is an error.

``http.client`` takes the end of a connection for the end of a head. What was cut off
in its head would then be a whole message, with headers missing or cut short.
"""

import errno
import http.client
from typing import Any

from pimentobend_adapters._internal.http.grammar import is_status_line
from pimentobend_adapters._internal.http.grammar import read_field

MAX_HEAD_BYTES = 65536  # of an answer with its interim answers, or of a request


class CutLineError(OSError):
    """A connection ended within a line, or before one that must follow."""


class MalformedHeadError(http.client.HTTPException):
    """A head has lines, or a length of the body, that cannot be read."""


class InvalidStatusError(http.client.HTTPException):
    """A status line is malformed, or its status is beyond 100 to 599."""


class HeadTooLargeError(http.client.HTTPException):
    """A head has more bytes than its reader takes."""


class MalformedLineError(OSError):
    """A line of a head may be understood otherwise by other readers."""


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


class HeadReader(LineReader):
    """Returns the header lines of a head without the blanks around their values.

    Raises ``InvalidStatusError`` and ``MalformedLineError`` for lines that do not
    follow the grammar, which other readers may understand otherwise. Raises
    ``HeadTooLargeError`` once the lines exceed ``max_bytes`` in all: ``http.client``
    bounds the length of a line and the number of lines, so that a head may have 6 MB.
    """

    def __init__(
        self, inner: Any, *, has_start_line: bool, max_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        super().__init__(inner)
        self._left_bytes = max_bytes
        self._max_bytes = max_bytes
        self._is_start_line = has_start_line

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Return a line of at most ``limit_bytes`` bytes."""
        line = super().readline(limit_bytes)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise HeadTooLargeError(f"the head exceeds {self._max_bytes} bytes")
        return self._read_line(line) if line.endswith(b"\n") else line

    def _read_line(self, line: bytes) -> bytes:
        text = line.removesuffix(b"\n").removesuffix(b"\r")
        is_start_line, self._is_start_line = self._is_start_line, not text
        if is_start_line:
            if not is_status_line(text):
                raise InvalidStatusError("no version 1.x with a status of 100 to 599")
            return line
        if not text:
            return line
        field = read_field(text)
        if field is None:
            raise MalformedLineError(errno.EPROTO, "a line of the head is no header")
        return b"%s:%s\r\n" % field


class RequestHeadReader(HeadReader):
    """Also refuses lines that do not end with CR LF, and counts the request line."""

    def __init__(self, inner: Any, request_line: bytes, max_bytes: int) -> None:
        super().__init__(inner, has_start_line=False, max_bytes=max_bytes)
        self._left_bytes -= len(request_line)

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Return a line of at most ``limit_bytes`` bytes."""
        most_bytes = self._left_bytes + 1
        try:
            return super().readline(
                most_bytes if limit_bytes < 0 else min(limit_bytes, most_bytes)
            )
        except HeadTooLargeError as error:
            # The library would answer 431, which is for the operators' limit.
            raise MalformedLineError(errno.EPROTO, str(error)) from error

    def _read_line(self, line: bytes) -> bytes:
        if not line.endswith(b"\r\n"):
            raise MalformedLineError(errno.EPROTO, "a line does not end with CR LF")
        return super()._read_line(line)
