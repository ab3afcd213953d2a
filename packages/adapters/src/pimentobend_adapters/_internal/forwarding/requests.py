"""Send a request to a backend server or to another daemon."""

from collections.abc import Mapping
from typing import Any

from urllib3.util import SKIP_HEADER

from pimentobend_adapters._internal.http.headers import without_hop_by_hop
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import Body

_LENGTH = "Content-Length"
_ADDED_BY_LIBRARY = ("accept-encoding", "user-agent")


def send_request(
    connection: Any, head: RequestHead, body: Body, own_headers: Mapping[str, str]
) -> Any:
    """Send a request with the caller's headers and the daemon's own.

    The daemon's headers replace the caller's headers of the same name. Returns
    the response with its body unread; raises the errors of urllib3 and
    http.client.
    """
    connection.request(
        head.method,
        f"{head.path}?{head.query}" if head.query else head.path,
        body=None if body.length == 0 else body.chunks(),
        headers=_headers(head, body, own_headers),
        chunked=body.length is None,
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )
    return connection.getresponse()


def _headers(
    head: RequestHead, body: Body, own_headers: Mapping[str, str]
) -> dict[str, str]:
    replaced = {name.lower() for name in (*own_headers, _LENGTH)}
    headers: dict[str, str] = {}
    for name, value in without_hop_by_hop(head.headers):
        if name.lower() not in replaced:
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers.update(own_headers)
    if body.length:
        headers[_LENGTH] = str(body.length)
    lowered = {name.lower() for name in headers}
    headers.update({n: SKIP_HEADER for n in _ADDED_BY_LIBRARY if n not in lowered})
    return headers
