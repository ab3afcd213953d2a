"""Test the parsing of announcements and withdrawals."""

import json

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from returns.result import Failure
from returns.result import Success

from pimentobend_core._internal.membership.announcement import AnnouncementFault
from pimentobend_core._internal.membership.announcement import parse_announcement
from pimentobend_core._internal.membership.announcement import parse_withdrawal
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal

DOCUMENT: dict[str, object] = {
    "server_id": "kiln-1",
    "service": "bookings",
    "host": "127.0.0.1",
    "port": 9001,
    "slots": 6,
    "data_centre": "lahore-a",
    "region": "punjab",
    "state": "ready",
    "incarnation": 7,
    "lease_s": 6,
}


def test_valid_announcement_is_parsed() -> None:
    server = Server(
        "kiln-1",
        "bookings",
        "127.0.0.1",
        9001,
        6,
        "lahore-a",
        "punjab",
        ServerState.READY,
        7,
    )
    parsed = parse_announcement(json.dumps(DOCUMENT).encode())
    assert parsed == Success(Announcement(server, 6.0))


@pytest.mark.parametrize(
    ("changes", "faults"),
    [
        ({"state": "gone"}, ["state"]),
        ({"colour": "red"}, ["colour"]),
        ({"port": "9001"}, ["port"]),
        ({"lease_s": None}, ["lease_s"]),
        ({"slots": 1.5, "colour": 1}, ["colour", "slots"]),
    ],
)
def test_faults_name_their_fields(
    changes: dict[str, object], faults: list[str]
) -> None:
    parsed = parse_announcement(json.dumps(DOCUMENT | changes).encode())
    names = [text.partition(":")[0] for text in parsed.failure().faults]
    assert names == faults


@pytest.mark.parametrize("field", DOCUMENT)
def test_missing_field_is_a_fault(field: str) -> None:
    document = {name: value for name, value in DOCUMENT.items() if name != field}
    parsed = parse_announcement(json.dumps(document).encode())
    assert parsed == Failure(AnnouncementFault((f"{field}: missing",)))


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (
            b'{"server_id": "kiln-1", "incarnation": 7}',
            Success(Withdrawal("kiln-1", 7)),
        ),
        (
            b'{"server_id": "kiln-1"}',
            Failure(AnnouncementFault(("incarnation: missing",))),
        ),
    ],
)
def test_withdrawal(document: bytes, expected: object) -> None:
    assert parse_withdrawal(document) == expected


@given(document=strategies.binary(max_size=64))
@settings(derandomize=True)
def test_any_bytes_give_a_result(document: bytes) -> None:
    assert isinstance(parse_announcement(document), Success | Failure)
