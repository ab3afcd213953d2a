"""Read the parts of HTTP/1.1 messages by their grammar (RFC 9110 and RFC 9112).

Python's own functions accept more: ``str.strip`` removes vertical tabs and no-break
spaces, ``int`` reads signs and underscores. Readers that accept different lines see
different messages in the same bytes.
"""

import re
from typing import NamedTuple

BLANKS = " \t"
_BLANK_BYTES = BLANKS.encode()

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# The blank before a reason may be missing: many servers leave both out.
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: %s)?" % _TEXT)
_FIELD = re.compile(rb"(%s):(%s)" % (_TOKEN, _TEXT))
# At most 18 digits beside zeros: ``int`` rejects numbers of some thousand digits.
_NUMBER = re.compile(r"0*([0-9]{1,18})")
_QUOTED = rb'"(?:[\t\x20-\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
_EXTENSION = rb"[ \t]*;[ \t]*%s(?:[ \t]*=[ \t]*(?:%s|%s))?" % (_TOKEN, _TOKEN, _QUOTED)
# At most 15 digits beside zeros, 1 EB.
_CHUNK_SIZE = re.compile(rb"0*([0-9A-Fa-f]{1,15})(?:%s)*" % _EXTENSION)


class Field(NamedTuple):
    """A header or trailer, without the blanks around its value."""

    name: bytes
    value: bytes


def read_number(text: str) -> int | None:
    """Return the number that text writes in digits alone; None if it does not."""
    match = _NUMBER.fullmatch(text)
    return None if match is None else int(match[1])


def is_status_line(line: bytes) -> bool:
    """Return whether a line without its end has a version 1.x and a status to 599."""
    return _STATUS_LINE.fullmatch(line) is not None


def read_field(line: bytes) -> Field | None:
    """Return the field of a line without its end; None if the line is no field."""
    match = _FIELD.fullmatch(line)
    return None if match is None else Field(match[1], match[2].strip(_BLANK_BYTES))


def read_chunk_size(line: bytes) -> int | None:
    """Return the size in bytes that a line without its end gives a chunk, or None."""
    match = _CHUNK_SIZE.fullmatch(line)
    return None if match is None else int(match[1], 16)
