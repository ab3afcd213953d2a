"""Test from which broken calls and probes a crash of a server is concluded."""

import pytest

from pimentobend_core._internal.crashes.detection import MAX_CHECK_S
from pimentobend_core._internal.crashes.detection import MAX_PROBES
from pimentobend_core._internal.crashes.detection import PROBE_DELAY_S
from pimentobend_core._internal.crashes.detection import SECOND_PROBE_DELAY_S
from pimentobend_core._internal.crashes.detection import CrashDetector
from pimentobend_core._internal.crashes.detection import ProbeWanted
from pimentobend_core._internal.crashes.detection import Verdict

FIRST = ProbeWanted(PROBE_DELAY_S)
SECOND = ProbeWanted(SECOND_PROBE_DELAY_S)


@pytest.mark.parametrize(
    ("listening", "steps"),
    [
        ([False], [Verdict.CRASHED]),
        ([True, False], [SECOND, Verdict.CRASHED]),
        ([True] * MAX_PROBES, [SECOND, Verdict.GOES_ON]),
    ],
)
def test_probes_tell_a_crash(
    listening: list[bool], steps: list[ProbeWanted | Verdict]
) -> None:
    detector = CrashDetector()
    assert detector.note_broken("a", 0.0, 1.0) == FIRST
    assert detector.note_broken("b", 0.5, 1.001) is Verdict.OPEN
    found = [detector.note_probe(1.1, is_listening=each) for each in listening]
    assert found == steps
    assert detector.first_broken_at == 1.0
    assert detector.release() == ["a", "b"]
    assert not detector.is_checking


@pytest.mark.parametrize(("started_at", "step"), [(0.9, Verdict.CRASHED), (1.5, FIRST)])
def test_a_call_from_before_the_crash_broke_with_it(
    started_at: float, step: ProbeWanted | Verdict
) -> None:
    detector = CrashDetector()
    detector.note_broken("a", 0.0, 1.0)
    detector.note_probe(1.1, is_listening=False)
    detector.release()
    assert detector.note_broken("late", started_at, 30.0) == step


def test_a_probe_without_a_result_holds_nothing_back_for_long() -> None:
    detector = CrashDetector()
    assert not detector.is_overdue(5.0)
    detector.note_broken("a", 0.0, 1.0)
    assert not detector.is_overdue(1.0 + 0.9 * MAX_CHECK_S)
    assert detector.is_overdue(1.0 + MAX_CHECK_S)


def test_a_probe_that_nobody_waits_for_changes_nothing() -> None:
    detector = CrashDetector()
    assert detector.note_probe(1.0, is_listening=False) is Verdict.GOES_ON
    assert detector.note_broken("a", 0.5, 1.5) == FIRST
