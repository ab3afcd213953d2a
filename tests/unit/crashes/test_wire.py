"""Test the encoding of reports on crashes as replicated rows."""

import pytest

from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.suspects import MAX_PUBLISHED
from pimentobend_core._internal.crashes.suspects import REPORT_S
from pimentobend_core._internal.crashes.wire import create_reports_row
from pimentobend_core._internal.crashes.wire import read_reports_row
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import Rank

NOW = 1_796_000_000.0
MAX_ROW_BYTES = 2000
FRESH = CrashReport("s1.7-1", "f", 1, 1800)
OLD = CrashReport("s2.7-1", "g", 0, 30)
AGES = [
    ("at once", 0.0, (FRESH, OLD)),
    ("a clock behind", -5.0, (FRESH, OLD)),
    ("later", 20.5, (FRESH._replace(left_s=1780), OLD._replace(left_s=10))),
    ("one expired", 30.0, (FRESH._replace(left_s=1770),)),
    ("all expired", 1800.0, ()),
]


@pytest.mark.parametrize(
    ("age_s", "reports"), [case[1:] for case in AGES], ids=[case[0] for case in AGES]
)
def test_reports_age_while_their_row_is_stored(
    age_s: float, reports: tuple[CrashReport, ...]
) -> None:
    row = create_reports_row("i:1", Rank(1, 1), (FRESH, OLD), NOW)
    assert not row.is_final
    assert read_reports_row(row, NOW + age_s) == reports


def test_row_without_reports_may_be_dropped() -> None:
    row = create_reports_row("i:1", Rank(1, 2), (), NOW)
    assert row.is_final
    assert read_reports_row(row, NOW) == ()
    assert read_reports_row(row._replace(payload=b""), NOW) == ()


@pytest.mark.parametrize("payload", [b"\xc1", b"x", b"\x92\x01", b"\x92\x01\x91\x91a"])
def test_malformed_rows_are_refused(payload: bytes) -> None:
    row = create_reports_row("i:1", Rank(1, 1), (FRESH,), NOW)
    with pytest.raises(CodecError):
        read_reports_row(row._replace(payload=payload), NOW)


def test_row_is_small() -> None:
    reports = tuple(
        CrashReport(f"service-{each:02}.{10**18 + each}-1", "0" * 16, 1, REPORT_S)
        for each in range(MAX_PUBLISHED)
    )
    row = create_reports_row("10.0.0.1:7000", Rank(1, 1), reports, NOW)
    assert len(row.payload) <= MAX_ROW_BYTES
