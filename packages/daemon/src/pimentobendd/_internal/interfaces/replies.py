"""Read the requests of servers and operators and write the JSON replies to them."""

import http.client
import json
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class Reply(NamedTuple):
    """A reply whose document is sent as JSON."""

    status: int
    document: Mapping[str, object]


def make_error(
    status: int, message: str, faults: tuple[str, ...] = (), hint: str = ""
) -> Reply:
    """Return an error reply with all faults and a hint, if any."""
    document: dict[str, object] = {"error": message}
    if faults:
        document["faults"] = list(faults)
    if hint:
        document["hint"] = hint
    return Reply(status, document)


def write_reply(reply: Reply, start_response: StartResponse) -> list[bytes]:
    """Start the WSGI response and return its body."""
    content = json.dumps(reply.document, ensure_ascii=False).encode() + b"\n"
    reason = http.client.responses.get(reply.status, "Unknown")
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
    ]
    start_response(f"{reply.status} {reason}", headers)
    return [content]


def read_document(environ: Environ) -> bytes | None:
    """Return the request body, or None.

    None means an incomplete body, one of more than ``MAX_DOCUMENT_BYTES`` or a
    malformed length.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if not (length.isascii() and length.isdigit()):
        return None
    if int(length) > MAX_DOCUMENT_BYTES:
        return None
    content: bytes = environ["wsgi.input"].read(int(length))
    return content if len(content) == int(length) else None
