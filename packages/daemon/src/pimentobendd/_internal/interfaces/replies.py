"""Write the JSON replies of the servers' and the operators' interfaces."""

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
    """Hold a reply before it is written as JSON."""

    status: int
    document: Mapping[str, object]


def make_error(
    status: int, message: str, faults: tuple[str, ...] = (), hint: str = ""
) -> Reply:
    """Return an error reply that names every fault."""
    document: dict[str, object] = {"error": message}
    if faults:
        document["faults"] = list(faults)
    if hint:
        document["hint"] = hint
    return Reply(status, document)


def write_reply(reply: Reply, start_response: StartResponse) -> list[bytes]:
    """Start the response and return its body."""
    content = json.dumps(reply.document, ensure_ascii=False).encode() + b"\n"
    reason = http.client.responses.get(reply.status, "Unknown")
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
    ]
    start_response(f"{reply.status} {reason}", headers)
    return [content]


def read_document(environ: Environ) -> bytes | None:
    """Return the request's body; None when it is malformed or too large."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if not (length.isascii() and length.isdigit()):
        return None
    if int(length) > MAX_DOCUMENT_BYTES:
        return None
    content: bytes = environ["wsgi.input"].read(int(length))
    return content if len(content) == int(length) else None
