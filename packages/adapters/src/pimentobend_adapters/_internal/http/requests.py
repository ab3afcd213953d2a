"""Turn WSGI environments into checked request heads."""

import uuid
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.http.bodies import BodyBrokenError
from pimentobend_adapters._internal.http.bodies import read_body
from pimentobend_adapters._internal.http.headers import OWN_NAMES
from pimentobend_adapters._internal.http.headers import HeaderNames
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
    environ: Environ, now: float, names: HeaderNames = OWN_NAMES
) -> Result[Received, Refusal]:
    """Return the request received at ``now`` (seconds), or a 400 refusal."""
    fault = _find_fault(environ, names)
    if fault is not None:
        return Failure(malformed(fault))
    length = get_content_length(environ)
    try:
        body = read_body(environ["wsgi.input"], length)
    except BodyBrokenError as error:
        return Failure(malformed(str(error)))
    return Success(Received(_head(environ, now, names), body))


def find_excess(environ: Environ, limits: ClientLimits | None) -> Refusal | None:
    """Return the refusal of a request whose head or body is over its limit."""
    if limits is None:
        return None
    head_bytes = sum(len(name) + len(value) + 4 for name, value in get_headers(environ))
    if head_bytes > limits.max_header_bytes:
        return _excess(431, "headers", limits.max_header_bytes)
    length = environ.get("CONTENT_LENGTH") or "0"
    if length.isascii() and length.isdigit() and int(length) > limits.max_body_bytes:
        return _excess(413, "body", limits.max_body_bytes)
    return None


def _excess(status: int, part: str, limit_bytes: int) -> Refusal:
    detail = f"the {part} is larger than {limit_bytes} bytes"
    return Refusal(status, Ran.NOT_RUN, RefusalReason.TOO_LARGE, detail)


def malformed(detail: str) -> Refusal:
    """Return the refusal of a request that cannot be understood."""
    return Refusal(400, Ran.NOT_RUN, RefusalReason.MALFORMED, detail)


def _value(environ: Environ, name: str) -> str | None:
    """Return the value of a header, or None."""
    value: str | None = environ.get("HTTP_" + name.replace("-", "_").upper())
    return value


def _find_fault(environ: Environ, names: HeaderNames) -> str | None:
    lengths = {
        v for name, v in get_headers(environ) if name.lower() == "content-length"
    }
    length = "".join(lengths) or "0"
    if len(lengths) > 1 or not (length.isascii() and length.isdigit()):
        return "Content-Length is not one whole number"
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is not None and environ.get("CONTENT_LENGTH"):
        return "Content-Length and Transfer-Encoding are both given"
    if encoding is not None and encoding.strip().lower() != "chunked":
        return "Transfer-Encoding is not chunked"
    key = _value(environ, names.idempotency_key)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return f"Idempotency-Key is not of 1 to {MAX_KEY_CHARACTERS} characters"
    return _find_deadline_fault(names.deadline_ms, _value(environ, names.deadline_ms))


def _find_deadline_fault(name: str, value: str | None) -> str | None:
    if value is None:
        return None
    is_number = value.isascii() and value.isdigit()
    if is_number and int(value) <= MAX_DEADLINE_MS:
        return None
    return f"{name} is not a whole number up to {MAX_DEADLINE_MS}"


def get_content_length(environ: Environ) -> int | None:
    """Return the stated length of a body, or None when it is chunked."""
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _head(environ: Environ, now: float, names: HeaderNames) -> RequestHead:
    stated = _value(environ, names.deadline_ms)
    remaining_s = DEFAULT_DEADLINE_S if stated is None else int(stated) / MS_PER_S
    return RequestHead(
        request_id=_value(environ, names.request_id) or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        host=(environ.get("HTTP_HOST") or "").partition(":")[0].lower(),
        path=environ.get("RAW_PATH_INFO") or environ.get("PATH_INFO") or "/",
        query=environ.get("QUERY_STRING") or "",
        headers=get_headers(environ),
        organisation=_value(environ, names.organisation) or "",
        idempotency_key=_value(environ, names.idempotency_key),
        received_at=now,
        deadline=now + remaining_s,
    )


def get_headers(environ: Environ) -> Headers:
    """Return the headers as they were sent."""
    raw = environ.get("headers_raw")
    if raw is None:
        return ()
    return tuple((str(name), str(value)) for name, value in raw)
