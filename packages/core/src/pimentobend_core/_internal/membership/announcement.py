"""Parse the JSON announcements and withdrawals of backend servers."""

from collections.abc import Mapping
from typing import NamedTuple
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal


class AnnouncementFault(NamedTuple):
    """Every fault found in a document that a server sent."""

    faults: tuple[str, ...]


class _AnnouncementFields(NamedTuple):
    """Names and types of an announcement's JSON fields; the first nine fill Server."""

    server_id: str
    service: str
    host: str
    port: int
    slots: int
    data_centre: str
    region: str
    state: ServerState
    incarnation: int
    lease_s: float


class _WithdrawalFields(NamedTuple):
    """Names and types of a withdrawal's JSON fields, in the order of Withdrawal."""

    server_id: str
    incarnation: int


Parsed = TypeVar("Parsed")


def parse_announcement(document: bytes) -> Result[Announcement, AnnouncementFault]:
    """Parse a JSON announcement; unknown and missing fields are faults."""
    return _parse(document, _AnnouncementFields).map(
        lambda fields: Announcement(Server(*fields[:-1]), fields.lease_s)
    )


def parse_withdrawal(document: bytes) -> Result[Withdrawal, AnnouncementFault]:
    """Parse a JSON withdrawal; unknown and missing fields are faults."""
    return _parse(document, _WithdrawalFields).map(lambda f: Withdrawal(*f))


def _parse(document: bytes, kind: type[Parsed]) -> Result[Parsed, AnnouncementFault]:
    try:
        fields = msgspec.json.decode(document, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(AnnouncementFault((f"document: {error}",)))
    field_types: Mapping[str, type] = kind.__annotations__
    faults = [
        f"{name}: unknown field" for name in sorted(fields.keys() - field_types.keys())
    ]
    values: list[object] = []
    for name, field_type in field_types.items():
        if name not in fields:
            faults.append(f"{name}: missing")
            continue
        try:
            values.append(msgspec.convert(fields[name], field_type))
        except msgspec.ValidationError as error:
            faults.append(f"{name}: {error}")
    if faults:
        return Failure(AnnouncementFault(tuple(faults)))
    return Success(kind(*values))
