"""Encode a daemon's reports on crashes as a row that is replicated to all instances.

A row may be delivered long after it was made, so it holds the time of day.
"""

from typing import NamedTuple

import msgspec

from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind


class _Payload(NamedTuple):
    """Reports, and the time of day (Unix, s) at which their times left were taken."""

    published_at: int
    reports: tuple[CrashReport, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


def create_reports_row(
    author: str, rank: Rank, reports: tuple[CrashReport, ...], unix_time: float
) -> Row:
    """Encode all reports of one author; without any, the row may be dropped."""
    payload = _ENCODER.encode(_Payload(int(unix_time), reports))
    row_id = RowId(RowKind.CRASHES, author, "")
    return Row(row_id, rank, payload, is_final=not reports)


def read_reports_row(row: Row, unix_time: float) -> tuple[CrashReport, ...]:
    """Decode the reports that still count; raise CodecError if they are malformed.

    An empty payload means that a snapshot lacked the row.
    """
    if not row.payload:
        return ()
    try:
        payload = _DECODER.decode(row.payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CodecError(
            "cannot decode a row of crash reports",
            context=f"instance {row.row_id.author}: {error}",
        ) from error
    age_s = max(0, int(unix_time) - payload.published_at)
    aged = (each._replace(left_s=each.left_s - age_s) for each in payload.reports)
    return tuple(each for each in aged if each.left_s > 0)
