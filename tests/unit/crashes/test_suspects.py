"""Test which requests are suspected of crashing servers, blocked and released."""

import pytest

from pimentobend_core._internal.crashes.messages import CrashInput
from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ReleaseReason
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import RunSucceeded
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.crashes.suspects import BLOCK_S
from pimentobend_core._internal.crashes.suspects import MAX_DOUBLINGS
from pimentobend_core._internal.crashes.suspects import MAX_FINGERPRINTS
from pimentobend_core._internal.crashes.suspects import MAX_PUBLISHED
from pimentobend_core._internal.crashes.suspects import MAX_REPORTS
from pimentobend_core._internal.crashes.suspects import REPORT_S
from pimentobend_core._internal.crashes.suspects import SUSPECT_S
from pimentobend_core._internal.crashes.suspects import CrashSuspects

ALONE = ServerCrashed("s", ("f",))
SHARED = ServerCrashed("s", ("f", "g"))
UNKNOWN_BESIDE = ServerCrashed("s", ("f", ""))
RAN = RunSucceeded("f")
TICK = CrashTick()


def reports_in(outputs: tuple[CrashOutput, ...]) -> tuple[CrashReport, ...]:
    published = [each for each in outputs if isinstance(each, ReportsChanged)]
    return published[-1].reports if published else ()


def played(*messages: CrashInput, observer: str = "a") -> CrashSuspects:
    suspects = CrashSuspects(observer)
    for message in messages:
        suspects.handle(message, 0.0)
    return suspects


@pytest.mark.parametrize(
    ("crashes", "weight", "is_blocked"),
    [
        ((), 0, False),
        ((SHARED,), 1, False),
        ((ALONE,), 2, False),
        ((SHARED, SHARED), 2, False),
        ((SHARED, ALONE), 3, True),
        ((ALONE, ALONE), 4, True),
        ((SHARED, SHARED, SHARED), 3, True),
        ((UNKNOWN_BESIDE, UNKNOWN_BESIDE), 2, False),
        # Once it has run well, its earlier neighbour is to blame for the next crashes.
        ((SHARED, RAN, SHARED, SHARED), 0, False),
        ((ALONE, ALONE, RAN), 0, False),
    ],
)
def test_crashes_weigh_until_the_request_is_blocked(
    crashes: tuple[CrashInput, ...], weight: int, is_blocked: bool
) -> None:
    suspects = played(*crashes)
    assert suspects.weight_of("f") == weight
    assert suspects.is_suspect("f") is (weight > 0)
    assert (suspects.find_block("f", 1.0) is not None) is is_blocked


def test_what_runs_beside_a_suspect_is_spared() -> None:
    suspects = played(ServerCrashed("s", ("f", "g")), ServerCrashed("s", ("f", "h")))
    assert [suspects.weight_of(each) for each in "fgh"] == [2, 1, 0]


def test_a_request_without_a_fingerprint_is_never_blamed() -> None:
    suspects = CrashSuspects("a")
    assert suspects.handle(ServerCrashed("s", ("", "")), 0.0) == ()
    assert not suspects.is_suspect("")


@pytest.mark.parametrize(
    ("crashes", "length_s"),
    [
        ((SHARED, ALONE), BLOCK_S),
        ((ALONE, ALONE), 2 * BLOCK_S),
        ((ALONE, ALONE, SHARED), 4 * BLOCK_S),
        ((ALONE,) * 9, 2**MAX_DOUBLINGS * BLOCK_S),
    ],
)
def test_a_block_ends_and_one_more_crash_renews_it(
    crashes: tuple[CrashInput, ...], length_s: float
) -> None:
    suspects = played(*crashes)
    assert suspects.find_block("f", length_s - 1.0) is not None
    assert suspects.find_block("f", length_s) is None
    assert suspects.handle(TICK, length_s - 1.0) == ()
    assert suspects.handle(TICK, length_s) == (
        FingerprintReleased("f", ReleaseReason.EXPIRED),
    )
    assert suspects.is_suspect("f")
    outputs = suspects.handle(SHARED, length_s + 1.0)
    (blocked,) = [each for each in outputs if isinstance(each, FingerprintBlocked)]
    least_s = min(2 * length_s, 2**MAX_DOUBLINGS * BLOCK_S)
    assert blocked.block.until == pytest.approx(length_s + 1.0 + least_s)


@pytest.mark.parametrize(
    ("crashes", "forgotten_after_s"),
    [
        ((SHARED,), SUSPECT_S),
        ((ALONE,), SUSPECT_S),
        ((ALONE, ALONE), REPORT_S),
    ],
)
def test_reports_are_forgotten(
    crashes: tuple[CrashInput, ...], forgotten_after_s: float
) -> None:
    suspects = played(*crashes)
    suspects.handle(TICK, forgotten_after_s - 1.0)
    assert suspects.is_suspect("f")
    outputs = suspects.handle(TICK, forgotten_after_s)
    assert not suspects.is_suspect("f")
    assert ReportsChanged(()) in outputs


def test_observers_add_up_and_a_report_counts_once() -> None:
    reports = [
        reports_in(CrashSuspects(name).handle(SHARED, 0.0)) for name in ("a", "b", "c")
    ]
    suspects = CrashSuspects("d")
    for each in (*reports, *reports):
        suspects.handle(ReportsReceived(each), 5.0)
    block = suspects.find_block("f", 6.0)
    assert block is not None
    assert block[:4] == ("f", 3, 3, 3)
    # The neighbour of all three crashes cannot be told apart from the culprit.
    assert suspects.find_block("g", 6.0) is not None


@pytest.mark.parametrize("order", [(0, 1), (1, 0), (0, 1, 0), (1, 0, 1)])
def test_a_clearance_holds_in_any_order_of_delivery(order: tuple[int, ...]) -> None:
    first = CrashSuspects("a")
    crashed = reports_in(first.handle(ALONE, 0.0))
    second = CrashSuspects("b")
    second.handle(ReportsReceived(crashed), 1.0)
    cleared = reports_in(second.handle(RAN, 2.0))
    third = CrashSuspects("c")
    for number in order:
        third.handle(ReportsReceived((crashed, cleared)[number]), 3.0)
    assert not third.is_suspect("f")
    first.handle(ReportsReceived(cleared), 3.0)
    assert not first.is_suspect("f")


def test_a_restarted_observer_gets_its_reports_back_and_publishes_them_again() -> None:
    before = CrashSuspects("a1")
    other = CrashSuspects("b")
    earlier = reports_in(before.handle(ALONE, 0.0))
    other.handle(ReportsReceived(earlier), 1.0)
    after = CrashSuspects("a2")
    restored = after.handle(EarlierReportsSeen(earlier), 20.0)
    assert {each[:3] for each in reports_in(restored)} == {("a1-1", "f", 2)}
    assert after.handle(EarlierReportsSeen(earlier), 21.0) == ()
    own = reports_in(after.handle(SHARED, 30.0))
    for suspects in (other, CrashSuspects("c")):
        suspects.handle(ReportsReceived(own), 31.0)
        assert suspects.weight_of("f") == 3
        assert suspects.find_block("f", 31.0) is not None
    assert after.weight_of("f") == 3


def test_a_block_received_late_ends_with_the_others() -> None:
    first = CrashSuspects("a")
    first.handle(ALONE, 0.0)
    first.handle(ALONE, 0.0)
    late = CrashSuspects("b")
    late.handle(ReportsReceived(first.reports_on("f", 100.0)), 100.0)
    here, there = first.find_block("f", 100.0), late.find_block("f", 100.0)
    assert here is not None
    assert there is not None
    assert there.until == pytest.approx(here.until, abs=1.0)


@pytest.mark.parametrize(
    "report",
    [
        CrashReport("x-1", "f", 2, 0),
        CrashReport("x-1", "f", 2, -5),
        CrashReport("x-1", "", 2, 100),
        CrashReport("x-1", "f", -3, 100),
    ],
)
def test_reports_out_of_range_blame_nobody(report: CrashReport) -> None:
    suspects = played(ReportsReceived((report,)))
    assert not suspects.is_suspect(report.fingerprint)


def test_a_single_report_cannot_block() -> None:
    suspects = played(ReportsReceived((CrashReport("x-1", "f", 99, 10**9),)))
    assert suspects.find_block("f", 1.0) is None
    suspects.handle(TICK, REPORT_S)
    assert not suspects.is_suspect("f")


def test_memory_and_published_reports_are_bounded() -> None:
    suspects = played(ALONE, ALONE)
    published: tuple[CrashReport, ...] = ()
    for crash in range(5):
        names = tuple(f"{crash}-{number}" for number in range(MAX_FINGERPRINTS))
        outputs = suspects.handle(ServerCrashed("s", names), 1.0)
        published = reports_in(outputs) or published
        assert len(published) <= MAX_PUBLISHED
    dumped = suspects.dump()["suspects"]
    assert isinstance(dumped, dict)
    assert len(dumped) == MAX_FINGERPRINTS
    assert suspects.find_block("f", 2.0) is not None, "the heaviest stays"
    assert "f" in {each.fingerprint for each in published}
    for _ in range(MAX_REPORTS + 3):
        suspects.handle(ALONE, 3.0)
    assert len(suspects.reports_on("f", 3.0)) == MAX_REPORTS


def test_an_evicted_block_is_released() -> None:
    suspects = CrashSuspects("a")
    for number in range(MAX_FINGERPRINTS):
        for _ in range(2):
            suspects.handle(ServerCrashed("s", (f"f{number}",)), 0.1 * number)
    later = tuple(CrashReport(f"b-{n}", "later", 2, REPORT_S) for n in (1, 2))
    outputs = suspects.handle(ReportsReceived(later), 50.0)
    assert FingerprintReleased("f0", ReleaseReason.EVICTED) in outputs
