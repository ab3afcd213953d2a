"""Header names of the interfaces, and functions that read and filter headers."""

from typing import NamedTuple

from pimentobend_adapters._internal.http.grammar import read_number
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import LoadReport

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "Pimentobend-Deadline-Ms"
ORGANISATION = "Pimentobend-Organisation"
RAN = "Pimentobend-Ran"
REASON = "Pimentobend-Reason"
LOAD = "Pimentobend-Load"
REQUEST_ID = "Pimentobend-Request-Id"


class HeaderNames(NamedTuple):
    """Header names that callers and backend servers use.

    An empty name means that the interface has no such header.
    """

    request_id: str = REQUEST_ID
    deadline_ms: str = DEADLINE_MS
    organisation: str = ORGANISATION
    idempotency_key: str = IDEMPOTENCY_KEY
    ran: str = RAN
    reason: str = REASON
    not_run: str = ""  # on an answer: the server did not run the request
    expected_server: str = ""  # on a request: the only server that may run it
    caller_service: str = ""  # on a request: the service that sent it
    stamp: str = ""  # on an answer: shows that the server itself sent it


OWN_NAMES = HeaderNames()

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def without_hop_by_hop(headers: Headers) -> Headers:
    """Drop hop-by-hop headers and those listed in Connection, except Host."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    dropped.discard("host")
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None."""
    wanted = name.lower()
    for candidate, value in headers:
        if candidate.lower() == wanted:
            return value
    return None


def parse_load(value: str | None) -> LoadReport | None:
    """Parse ``in_use/slots``; None if it is absent or malformed."""
    in_use, _, slots = (value or "").partition("/")
    numbers = (read_number(in_use), read_number(slots))
    if numbers[0] is None or numbers[1] is None:
        return None
    return LoadReport(numbers[0], numbers[1])


def to_header_value(text: str) -> str:
    """Return text as a header value, with one character for each byte of its UTF-8."""
    return text.encode().decode("latin-1")
