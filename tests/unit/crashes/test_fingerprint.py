"""Test that equal requests have equal fingerprints, and only those."""

import pytest

from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.bodies import StreamedBody
from pimentobend_core._internal.crashes.fingerprint import NO_FINGERPRINT
from pimentobend_core._internal.crashes.fingerprint import find_fingerprint
from pimentobend_core._internal.models.request import RequestHead

HEAD = RequestHead(
    request_id="1",
    method="POST",
    host="a.example",
    path="/a/b",
    query="q=1",
    headers=(("X", "1"),),
    organisation="org",
    idempotency_key=None,
    received_at=1.0,
    deadline=2.0,
)
BODY = b"body"


@pytest.mark.parametrize(
    ("changes", "body", "is_equal"),
    [
        ({"request_id": "2", "received_at": 5.0, "deadline": 9.0}, BODY, True),
        ({"headers": (("Caller-Service", "other"),)}, BODY, True),
        ({"headers": (("Authorization", "Bearer other"),)}, BODY, False),
        ({"method": "PUT"}, BODY, False),
        ({"host": "b.example"}, BODY, False),
        ({"path": "/a/c"}, BODY, False),
        ({"path": "/a/", "query": "bq=1"}, BODY, False),
        ({"organisation": "other"}, BODY, False),
        ({}, b"other", False),
        ({"query": "q=\udcff"}, BODY, False),
    ],
)
def test_what_a_fingerprint_covers(
    changes: dict[str, object], body: bytes, is_equal: bool
) -> None:
    first = find_fingerprint(HEAD, BufferedBody(BODY))
    second = find_fingerprint(HEAD._replace(**changes), BufferedBody(body))  # type: ignore[arg-type]
    assert len(first) == len(second) == 16
    assert (first == second) is is_equal


def test_a_body_that_can_be_read_once_is_not_read() -> None:
    class Unreadable:
        def read(self, size: int) -> bytes:
            raise AssertionError("the body was read")

    body = StreamedBody(b"start", Unreadable(), None)
    assert find_fingerprint(HEAD, body) == NO_FINGERPRINT
