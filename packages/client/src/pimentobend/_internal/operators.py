"""HTTP client for the operators' interface of a daemon."""

import json
import pathlib
import urllib.parse
from collections.abc import Mapping
from typing import Any

import urllib3

from pimentobend._internal.exceptions import ClientError
from pimentobend._internal.exceptions import RefusedError
from pimentobend._internal.exceptions import UnreachableError
from pimentobend_adapters._internal.http.strict_answer import is_malformed
from pimentobend_adapters._internal.http.strict_pools import create_pools

TIMEOUT_S = 15.0
HTTP_OK = 200

Document = dict[str, Any]


class OperatorsClient:
    """Sends requests to the operators' interface of one daemon.

    Each request raises ``UnreachableError`` if there is no whole response, and
    ``RefusedError`` if its status is not 200.
    """

    def __init__(self, address: str, token_file: str | None) -> None:
        self._address = address
        self._token_file = token_file
        self._http = create_pools(timeout=urllib3.Timeout(total=TIMEOUT_S))

    def get(self, path: str, **query: str) -> Document:
        """Send a GET request and return the JSON document of the response."""
        return self._send("GET", path, None, query)

    def put(self, path: str, content: bytes, **query: str) -> Document:
        """Send a PUT request and return the JSON document of the response."""
        return self._send("PUT", path, content, query)

    def post(self, path: str, **query: str) -> Document:
        """Send a POST request and return the JSON document of the response."""
        return self._send("POST", path, b"", query)

    def _send(
        self, method: str, path: str, content: bytes | None, query: Mapping[str, str]
    ) -> Document:
        url = f"http://{self._address}{path}?{urllib.parse.urlencode(query)}"
        try:
            response = self._http.request(
                method, url, body=content, headers=self._headers()
            )
        except urllib3.exceptions.HTTPError as error:
            if is_malformed(error):
                raise UnreachableError(
                    "the response is not HTTP",
                    context=f"{self._address}: {error.args[-1]}",
                    hint="is this the operators' address of a daemon?",
                ) from error
            raise UnreachableError(
                "no response from the daemon",
                context=f"{self._address}: {type(error).__name__}",
                hint="is the daemon running? set --operators=HOST:PORT",
            ) from error
        return _parse_response(response.status, response.data)

    def _headers(self) -> dict[str, str]:
        if self._token_file is None:
            return {}
        try:
            token = pathlib.Path(self._token_file).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise ClientError(
                "cannot read the token file",
                context=f"{self._token_file}: {error.strerror}",
            ) from error
        return {"Authorization": f"Bearer {token}"}


def _parse_response(status: int, content: bytes) -> Document:
    try:
        document = json.loads(content)
    except ValueError as error:
        raise ClientError(
            "the response is not JSON",
            context=f"status {status}",
            hint="is this the operators' address of a daemon?",
        ) from error
    if status == HTTP_OK:
        result: Document = document
        return result
    raise RefusedError(
        status,
        document.get("error", f"status {status}"),
        tuple(document.get("faults", ())),
        document.get("hint", ""),
    )
