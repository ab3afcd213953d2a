"""Parse and validate requests from WSGI environments."""

import uuid
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.http.bodies import read_body
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.credentials import find_key_digest
from pimentobend_adapters._internal.http.credentials import hide_credentials
from pimentobend_adapters._internal.http.credentials import is_from_this_machine
from pimentobend_adapters._internal.http.grammar import read_number
from pimentobend_adapters._internal.http.headers import OWN_NAMES
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import without_hop_by_hop
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.request.stages import Received

DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_CHARACTERS = 255
MS_PER_S = 1000

Environ = dict[str, Any]


def parse_request(
    environ: Environ,
    now: float,
    names: HeaderNames = OWN_NAMES,
    memory: MemoryOwner | None = None,
) -> Result[Received, Refusal]:
    """Return the request received at ``now`` (seconds), or a 400 refusal."""
    fault = _find_fault(environ, names)
    if fault is not None:
        return Failure(refuse_malformed(fault))
    length = get_content_length(environ)
    try:
        body = read_body(environ["wsgi.input"], length, memory)
    except IncompleteBodyError as error:
        return Failure(refuse_malformed(str(error)))
    return Success(Received(_make_head(environ, now, names), body))


def check_limits(environ: Environ, limits: ClientLimits | None) -> Refusal | None:
    """Return a refusal if the target, the headers or the body exceed their limits."""
    if limits is None:
        return None
    # Each header line has 4 more bytes: ": " and the line end.
    head_bytes = sum(len(name) + len(value) + 4 for name, value in get_headers(environ))
    if head_bytes > limits.max_header_bytes:
        return _too_large(431, "headers", limits.max_header_bytes)
    target = f"{environ.get('RAW_PATH_INFO', '')}?{environ.get('QUERY_STRING', '')}"
    if len(target.removesuffix("?")) > limits.max_header_bytes:
        return _too_large(414, "target", limits.max_header_bytes)
    length = environ.get("CONTENT_LENGTH") or "0"
    if length.isascii() and length.isdigit() and int(length) > limits.max_body_bytes:
        return _too_large(413, "body", limits.max_body_bytes)
    return None


def _too_large(status: int, part: str, limit_bytes: int) -> Refusal:
    detail = f"the size of the request {part} exceeds {limit_bytes} bytes"
    return Refusal(status, Ran.NOT_RUN, RefusalReason.TOO_LARGE, detail)


def refuse_malformed(detail: str) -> Refusal:
    """Return a 400 refusal with the given reason."""
    return Refusal(400, Ran.NOT_RUN, RefusalReason.MALFORMED, detail)


def _get_header(environ: Environ, name: str) -> str | None:
    """Return the value of a header, or None."""
    value: str | None = environ.get("HTTP_" + name.replace("-", "_").upper())
    return value


def _find_fault(environ: Environ, names: HeaderNames) -> str | None:
    lengths = {
        v for name, v in get_headers(environ) if name.lower() == "content-length"
    }
    length = "".join(lengths) or "0"
    if len(lengths) > 1 or not (length.isascii() and length.isdigit()):
        return "Content-Length is not a single whole number"
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is not None and environ.get("CONTENT_LENGTH"):
        return "Content-Length and Transfer-Encoding are both set"
    if encoding is not None and encoding.lower() != "chunked":
        return "Transfer-Encoding is not 'chunked'"
    key = _get_header(environ, names.idempotency_key)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} characters"
    return _find_deadline_fault(
        names.deadline_ms, _get_header(environ, names.deadline_ms)
    )


def _find_deadline_fault(name: str, value: str | None) -> str | None:
    if value is None:
        return None
    number = read_number(value)
    if number is not None and number <= MAX_DEADLINE_MS:
        return None
    return f"{name} is not a whole number from 0 to {MAX_DEADLINE_MS}"


def get_content_length(environ: Environ) -> int | None:
    """Return the Content-Length of a body, or None if it is chunked."""
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _make_head(environ: Environ, now: float, names: HeaderNames) -> RequestHead:
    deadline_ms = _get_header(environ, names.deadline_ms)
    remaining_s = (
        DEFAULT_DEADLINE_S if deadline_ms is None else int(deadline_ms) / MS_PER_S
    )
    headers = get_headers(environ)
    return RequestHead(
        request_id=_get_header(environ, names.request_id) or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        host=(environ.get("HTTP_HOST") or "").partition(":")[0].lower(),
        path=environ.get("RAW_PATH_INFO") or environ.get("PATH_INFO") or "/",
        query=environ.get("QUERY_STRING") or "",
        # What a client names in Connection is dropped before a daemon adds its own.
        headers=without_hop_by_hop(headers),
        organisation=_get_header(environ, names.organisation) or "",
        idempotency_key=_get_header(environ, names.idempotency_key),
        received_at=now,
        deadline=now + remaining_s,
        api_key_digest=find_key_digest(headers),
        is_local=is_from_this_machine(environ),
    )


def declare_length(environ: Environ) -> int | None:
    """Return the length that an unchecked head declares; None if it is unknown."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        return None
    length = environ.get("CONTENT_LENGTH") or "0"
    return int(length) if length.isascii() and length.isdigit() else 0


def get_headers(environ: Environ) -> Headers:
    """Return the headers in the order and spelling in which they were sent."""
    raw = environ.get("headers_raw")
    if raw is None:
        return ()
    return hide_credentials(tuple((str(name), str(value)) for name, value in raw))
