"""Test that keys are read from requests and are not shown."""

from typing import Any

import pytest

from pimentobend_adapters._internal.forwarding.requests import _headers
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.credentials import find_key_digest
from pimentobend_adapters._internal.http.credentials import is_from_this_machine
from pimentobend_adapters._internal.http.requests import parse_request
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.utils.api_keys import digest_key

KEY = "s3cret.~+/-_key=="
GOOD = [f"Bearer {KEY}", f"bearer {KEY}", f"BEARER  {KEY}", f" Bearer {KEY} "]
BAD = ["", "Bearer", "Bearer ", KEY, f"Basic {KEY}", f"Bearer {KEY} {KEY}", "Bearer ä"]


@pytest.mark.parametrize("value", GOOD)
def test_a_key_is_found(value: str) -> None:
    headers = (("X-Mine", "1"), ("AUTHORIZATION", value))
    assert find_key_digest(headers) == digest_key(KEY)


@pytest.mark.parametrize(
    "headers",
    [(("Authorization", value),) for value in BAD]
    + [(("Authorization", GOOD[0]), ("authorization", GOOD[0]))],
)
def test_malformed_credentials_are_those_of_no_key(headers: Headers) -> None:
    """Guard against malformed credentials that pass for a missing key."""
    digest = find_key_digest(headers)
    assert len(digest) == 16
    assert digest not in (digest_key(KEY), digest_key(""))
    assert find_key_digest((("X-Authorization", KEY),)) == b""


def make_environ(remote: str, local: str) -> dict[str, Any]:
    return {
        "REQUEST_METHOD": "GET",
        "REMOTE_ADDR": remote,
        "SERVER_NAME": local,
        "headers_raw": (("Authorization", f"Bearer {KEY}"), ("X-Mine", "1")),
        "wsgi.input": None,
    }


LOCAL = [
    ("10.1.0.5", "10.1.0.5", True),
    ("10.1.0.6", "10.1.0.5", False),
    ("127.0.0.1", "127.0.0.1", True),
    ("127.0.0.1", "127.9.0.3", False),
    ("::1", "fd00::5", False),
    ("127.9.0.4", "127.9.0.3", False),
    ("127.9.0.3", "127.9.0.3", True),
    ("::1", "::1", True),
    ("::ffff:127.0.0.1", "::ffff:127.0.0.1", True),
    ("fd00::6", "fd00::5", False),
    ("", "", False),
]


@pytest.mark.parametrize(("remote", "local", "expected"), LOCAL)
def test_connections_of_this_machine(remote: str, local: str, expected: bool) -> None:
    """Guard against keyless requests that run because of any loopback address."""
    assert is_from_this_machine(make_environ(remote, local)) == expected


def test_a_parsed_request_does_not_show_its_key_and_can_be_forwarded() -> None:
    received = parse_request(make_environ("10.1.0.5", "10.1.0.5"), 0.0).unwrap()
    head = received.head
    assert (head.api_key_digest, head.is_local) == (digest_key(KEY), True)
    assert KEY not in repr(received)
    sent = _headers(head, BufferedBody(b""), {})
    assert sent["Authorization"] == f"Bearer {KEY}"
