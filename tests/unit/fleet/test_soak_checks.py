"""Check what the soak test calls a violation around planned stops, and its series."""

import math
import signal
from typing import Any

import pytest
from platform_process import Answer
from platform_process import ProcessEnd
from platform_process import SentSignal
from platform_server import Run
from platform_server import RunEnd
from soak_checks import StopTimes
from soak_checks import check_answer
from soak_checks import check_ends
from soak_client import Failure
from soak_faults import Scope
from soak_series import ANSWERABLE
from soak_series import OUTLASTING
from soak_series import SeriesTerms
from soak_series import make_series
from soak_series import make_series_faults
from soak_traffic import RequestRecord
from soak_waves import Targets

GRACE_S = 6.0
TARGETS = Targets((0, 1, 2), tuple(range(3, 15)), GRACE_S)
NO_STOP: tuple[float, ...] = ()


def make_record(
    ended_at: float, status: int, failure: Failure = Failure.NONE
) -> RequestRecord:
    """Return a request that was sent at 0 s."""
    process: Any = None
    sent_at = None if failure in (Failure.CONNECT, Failure.SEND) else 0.0
    answer = Answer(status, {}, b"")
    return RequestRecord(
        "a", process, False, True, 0.0, ended_at, answer, failure, sent_at
    )


def make_run(began_at: float, ended_at: float, end: RunEnd) -> Run:
    """Return a run of the request by a server."""
    return Run("a", "server", began_at, ended_at, end)


ANSWERED = make_run(0.1, 2.0, RunEnd.ANSWERED)
CUT = make_run(0.1, 4.0, RunEnd.CUT)
HANGING = make_run(0.1, math.inf, RunEnd.OPEN)
CLOSED = Failure.CLOSED
NONE = Failure.NONE

# SIGTERM, end of the request, its status and failure, its runs, and the violation
ANSWERS: list[tuple[str, tuple[float, ...], float, int, Failure, list[Run], str]] = [
    ("answered", NO_STOP, 2.0, 200, NONE, [ANSWERED], ""),
    ("refused", (1.0,), 2.0, 503, NONE, [], ""),
    ("failed before any run", (1.0,), 2.0, 502, NONE, [], ""),
    ("failed after the answer of its server", (1.0,), 2.5, 502, NONE, [ANSWERED], ""),
    ("denied", NO_STOP, 0.1, 404, NONE, [], "denied"),
    ("not connected", (-8.0,), 0.1, 0, Failure.CONNECT, [], ""),
    ("crossed the close", (-1.0,), 0.1, 0, CLOSED, [], ""),
    ("closed after it was read", (-1.0,), 0.3, 0, CLOSED, [], "unanswered"),
    ("closed at once, but it runs", (-1.0,), 0.15, 0, CLOSED, [HANGING], "unanswered"),
    ("closed without a stop", NO_STOP, 4.1, 0, CLOSED, [CUT], "unanswered"),
    ("closed after the host ended", (2.0,), 7.2, 0, CLOSED, [CUT], "unanswered"),
    ("closed in the last sixth", (0.5,), 5.7, 0, CLOSED, [HANGING], ""),
    ("closed in it, sent late", (-3.1,), 2.1, 0, CLOSED, [HANGING], "unanswered"),
    ("closed just before it", (0.5,), 5.4, 0, CLOSED, [CUT], "unanswered"),
    ("given up after a host's end", (2.0,), 5.6, 502, NONE, [CUT], "given up"),
    ("given up in the last sixth", (0.5,), 5.6, 504, NONE, [HANGING], ""),
    ("given up as the server hangs", (2.0,), 5.6, 504, NONE, [HANGING], "given up"),
    ("given up beside no stop", NO_STOP, 4.1, 502, NONE, [CUT], ""),
    ("given up long after the stop", (-7.5,), 4.1, 502, NONE, [CUT], ""),
    ("given up at the deadline", (5.0,), 9.95, 504, NONE, [HANGING], ""),
    ("never sent to a server", NO_STOP, 9.95, 504, NONE, [], "reached no server"),
    ("answered late", NO_STOP, 10.6, 504, NONE, [HANGING], "after its deadline"),
    ("never answered", NO_STOP, 12.0, 0, Failure.TIMEOUT, [HANGING], "by its deadline"),
]


@pytest.mark.parametrize(
    ("stops", "ended_at", "status", "failure", "runs", "violation"),
    [row[1:] for row in ANSWERS],
    ids=[row[0] for row in ANSWERS],
)
def test_answers_around_stops(
    stops: tuple[float, ...],
    ended_at: float,
    status: int,
    failure: Failure,
    runs: list[Run],
    violation: str,
) -> None:
    record = make_record(ended_at, status, failure)
    host_stops = {"server": StopTimes((), GRACE_S)}
    found = check_answer(record, runs, StopTimes(stops, GRACE_S), host_stops)
    assert len(found) == bool(violation)
    assert all(violation in each for each in found)


TERM = signal.SIGTERM
ENDS = [  # SIGTERM (time, whether the process listened), end, exit code, violation
    ("in time", [(1.0, True)], 6.5, 0, ""),
    ("twice", [(1.0, True), (6.8, True)], 6.9, 0, ""),
    ("late", [(1.0, True)], 7.5, 0, "6.50 s after SIGTERM"),
    ("late, counted from the first", [(1.0, True), (3.0, True)], 7.5, 0, "6.50 s"),
    ("with a code", [(1.0, True)], 2.0, 1, "code 1"),
    ("by the signal", [(1.0, True)], 1.1, -TERM, "code -15"),
    ("by the signal during the start", [(1.0, False)], 1.1, -TERM, ""),
    ("with a code during the start", [(1.0, False)], 1.1, 1, "code 1"),
    ("by itself", [], 2.0, 1, "by itself"),
]


@pytest.mark.parametrize(
    ("starved_s", "violations"), [((2.0, 2.0), 1), ((2.0, 2.3), 1), ((2.0, 2.6), 0)]
)
def test_wait_for_a_processor_is_not_part_of_a_stop(
    starved_s: tuple[float, float], violations: int
) -> None:
    sent = SentSignal(TERM, 1.0, True, starved_s[0])
    found = check_ends("a", [sent], [ProcessEnd(7.5, 0, starved_s[1])], GRACE_S)
    assert len(found) == violations


@pytest.mark.parametrize(
    ("sent", "ended_at", "exit_code", "violation"),
    [row[1:] for row in ENDS],
    ids=[row[0] for row in ENDS],
)
def test_ends_after_sigterm(
    sent: list[tuple[float, bool]], ended_at: float, exit_code: int, violation: str
) -> None:
    signals = [SentSignal(TERM, *each) for each in sent]
    found = check_ends("a", signals, [ProcessEnd(ended_at, exit_code)], GRACE_S)
    assert len(found) == bool(violation)
    assert all(violation in each for each in found)


@pytest.mark.parametrize("terms", [ANSWERABLE, OUTLASTING])
@pytest.mark.parametrize("seed", range(10))
def test_series_stop_processes_that_overlap(seed: int, terms: SeriesTerms) -> None:
    faults = make_series_faults(terms)
    schedule = make_series(seed, 15.0, TARGETS, terms)
    assert schedule == make_series(seed, 15.0, TARGETS, terms)
    stops = [each for each in schedule if faults[each.fault].scope is Scope.PROCESS]
    overlapping = [
        (first, second)
        for first, second in zip(stops, stops[1:], strict=False)
        if second.start_s - first.start_s < GRACE_S
    ]
    assert len(overlapping) >= 5
    assert all(
        first.process_index != second.process_index for first, second in overlapping
    )
