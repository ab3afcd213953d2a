"""Turn WSGI environments into checked request heads."""

import uuid
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.http.bodies import BodyBrokenError
from pimentobend_adapters._internal.http.bodies import read_body
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.request.stages import Received

DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_CHARACTERS = 255
MS_PER_S = 1000

Environ = dict[str, Any]


def parse_request(environ: Environ, now: float) -> Result[Received, Refusal]:
    """Return the request received at ``now`` (seconds), or a 400 refusal."""
    fault = _find_fault(environ)
    if fault is not None:
        return Failure(malformed(fault))
    length = _content_length(environ)
    try:
        body = read_body(environ["wsgi.input"], length)
    except BodyBrokenError as error:
        return Failure(malformed(str(error)))
    return Success(Received(_head(environ, now), body))


def malformed(detail: str) -> Refusal:
    """Return the refusal of a request that cannot be understood."""
    return Refusal(400, Ran.NOT_RUN, RefusalReason.MALFORMED, detail)


def _find_fault(environ: Environ) -> str | None:
    lengths = {v for name, v in _headers(environ) if name.lower() == "content-length"}
    length = "".join(lengths) or "0"
    if len(lengths) > 1 or not (length.isascii() and length.isdigit()):
        return "Content-Length is not one whole number"
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is not None and environ.get("CONTENT_LENGTH"):
        return "Content-Length and Transfer-Encoding are both given"
    if encoding is not None and encoding.strip().lower() != "chunked":
        return "Transfer-Encoding is not chunked"
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return f"Idempotency-Key is not of 1 to {MAX_KEY_CHARACTERS} characters"
    return _find_deadline_fault(environ.get("HTTP_PIMENTOBEND_DEADLINE_MS"))


def _find_deadline_fault(value: str | None) -> str | None:
    if value is None:
        return None
    is_number = value.isascii() and value.isdigit()
    if is_number and int(value) <= MAX_DEADLINE_MS:
        return None
    return f"Pimentobend-Deadline-Ms is not a whole number up to {MAX_DEADLINE_MS}"


def _content_length(environ: Environ) -> int | None:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _head(environ: Environ, now: float) -> RequestHead:
    stated = environ.get("HTTP_PIMENTOBEND_DEADLINE_MS")
    remaining_s = DEFAULT_DEADLINE_S if stated is None else int(stated) / MS_PER_S
    return RequestHead(
        request_id=environ.get("HTTP_PIMENTOBEND_REQUEST_ID") or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        host=(environ.get("HTTP_HOST") or "").partition(":")[0].lower(),
        path=environ.get("RAW_PATH_INFO") or environ.get("PATH_INFO") or "/",
        query=environ.get("QUERY_STRING") or "",
        headers=_headers(environ),
        organisation=environ.get("HTTP_PIMENTOBEND_ORGANISATION") or "",
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
        received_at=now,
        deadline=now + remaining_s,
    )


def _headers(environ: Environ) -> Headers:
    raw = environ.get("headers_raw")
    if raw is None:
        return ()
    return tuple((str(name), str(value)) for name, value in raw)
