"""Parse the announcements and withdrawals of backend servers."""

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
    """Name every fault of a document that a server sent."""

    faults: tuple[str, ...]


class _Fields(NamedTuple):
    """Hold the kinds of an announcement's fields, in their order."""

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
    """Hold the kinds of a withdrawal's fields, in their order."""

    server_id: str
    incarnation: int


Parsed = TypeVar("Parsed")


def parse_announcement(document: bytes) -> Result[Announcement, AnnouncementFault]:
    """Read an announcement in JSON; unknown and missing fields are faults."""
    return _parse(document, _Fields).map(
        lambda fields: Announcement(Server(*fields[:-1]), fields.lease_s)
    )


def parse_withdrawal(document: bytes) -> Result[Withdrawal, AnnouncementFault]:
    """Read a withdrawal in JSON; unknown and missing fields are faults."""
    return _parse(document, _WithdrawalFields).map(lambda f: Withdrawal(*f))


def _parse(document: bytes, kind: type[Parsed]) -> Result[Parsed, AnnouncementFault]:
    try:
        given = msgspec.json.decode(document, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(AnnouncementFault((f"document: {error}",)))
    kinds: Mapping[str, type] = kind.__annotations__
    faults = [f"{name}: unknown field" for name in sorted(given.keys() - kinds.keys())]
    values: list[object] = []
    for name, field_kind in kinds.items():
        if name not in given:
            faults.append(f"{name}: missing")
            continue
        try:
            values.append(msgspec.convert(given[name], field_kind))
        except msgspec.ValidationError as error:
            faults.append(f"{name}: {error}")
    if faults:
        return Failure(AnnouncementFault(tuple(faults)))
    return Success(kind(*values))
