"""Write the answers and refusals that callers get."""

import http.client
import itertools
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from pimentobend_adapters._internal.forwarding.answers import AnswerTruncatedError
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.http.body_reader import CHUNK_BYTES
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.request.stages import Finished

UNAUTHORIZED = 401

StartResponse = Callable[..., Any]


def write_refusal(
    refusal: Refusal,
    request_id: str,
    names: HeaderNames,
    start_response: StartResponse,
) -> Iterator[bytes]:
    """Write a refusal; yield its body."""
    content = f"{refusal.detail}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(content))),
        (names.ran, refusal.ran.value),
        (names.reason, refusal.reason.value),
    ]
    if request_id:
        headers.append((names.request_id, request_id))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(refusal.retry_after_s)))
    if refusal.status == UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    start_response(_status_line(refusal.status), headers)
    yield content


def write_answer(
    finished: Finished,
    head: RequestHead,
    names: HeaderNames,
    start_response: StartResponse,
) -> Iterator[bytes]:
    """Write a server's answer; yield its body.

    An answer that was cut off before its head was sent becomes a refusal.
    """
    request_id = head.request_id
    body = finished.result.body
    assert body is not None
    try:
        chunks = body.chunks()
        start = _read_start(chunks, finished.result.headers)
    except AnswerTruncatedError as error:
        body.close()
        refusal = Refusal(502, Ran.RAN, RefusalReason.TRUNCATED, str(error))
        yield from write_refusal(refusal, request_id, names, start_response)
        return
    # Only the daemon says to callers what became of their requests.
    own_words = {names.ran.lower(), names.reason.lower()}
    headers = [h for h in finished.result.headers if h[0].lower() not in own_words]
    if find_header(finished.result.headers, names.request_id) is None:
        headers.append((names.request_id, request_id))
    headers.append((names.ran, finished.ran.value))
    if isinstance(body, BufferedAnswer) and head.method != "HEAD":
        headers = [each for each in headers if each[0].lower() != "content-length"]
        headers.append(("Content-Length", str(body.length)))
    start_response(_status_line(finished.result.status), headers)
    try:
        yield from start
        yield from chunks
    finally:
        body.close()


def _read_start(chunks: Iterator[bytes], headers: Headers) -> list[bytes]:
    """Read a small answer of known length, or the first bytes of another one.

    The server sends the head together with the first bytes; if they never come, it
    would send an error of its own, which does not say whether the request ran.
    """
    length = find_header(headers, "Content-Length")
    if length is None or int(length) > CHUNK_BYTES:
        return list(itertools.islice(chunks, 1))
    return list(chunks)


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
