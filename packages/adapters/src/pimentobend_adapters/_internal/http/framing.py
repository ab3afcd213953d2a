"""Decide from a head how the body of its message is framed."""

import http.client
from typing import NamedTuple

from pimentobend_adapters._internal.http.grammar import BLANKS
from pimentobend_adapters._internal.http.grammar import read_number
from pimentobend_adapters._internal.http.heads import MalformedHeadError

_LENGTH = "Content-Length"
_CODING = "Transfer-Encoding"
_CHUNKED = "chunked"


class Framing(NamedTuple):
    """How the end of a body is found."""

    is_chunked: bool
    length: int | None  # in bytes; None if the head has none


def resolve_framing(headers: http.client.HTTPMessage) -> Framing:
    """Return the framing that a head states, and rewrite its headers in plain form.

    Later readers of the headers find one length, or ``chunked``, or neither. Raises
    ``MalformedHeadError`` if the framing is ambiguous or cannot be read.
    """
    lengths = headers.get_all(_LENGTH, ())
    codings = headers.get_all(_CODING, ())
    if codings and lengths:
        raise MalformedHeadError(f"{_LENGTH} and {_CODING} are both set")
    if codings:
        if [each.lower() for each in codings] != [_CHUNKED]:
            raise MalformedHeadError(f"{_CODING} is not a single '{_CHUNKED}'")
        headers.replace_header(_CODING, _CHUNKED)
        return Framing(is_chunked=True, length=None)
    if lengths:
        length = _read_length(lengths)
        if lengths != [str(length)]:
            del headers[_LENGTH]
            headers[_LENGTH] = str(length)
        return Framing(is_chunked=False, length=length)
    return Framing(is_chunked=False, length=None)


def _read_length(values: list[str]) -> int:
    """Return the one length that all values state."""
    texts = [text.strip(BLANKS) for value in values for text in value.split(",")]
    lengths = {read_number(text) for text in texts}
    length = lengths.pop()
    if length is None or lengths:
        raise MalformedHeadError(f"{_LENGTH} is not a single whole number")
    return length
