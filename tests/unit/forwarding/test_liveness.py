"""Test the risk estimate of a server and the duration estimate it uses."""

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from pimentobend_core._internal.forwarding.durations import DurationEstimate
from pimentobend_core._internal.forwarding.liveness import INITIAL_RISK
from pimentobend_core._internal.forwarding.liveness import WINDOW_S
from pimentobend_core._internal.forwarding.liveness import Liveness


def make_estimate(seconds: float = 0.1) -> DurationEstimate:
    durations = DurationEstimate(1.0)
    for number in range(100):
        durations.record(seconds * (0.8 + 0.4 * (number % 10) / 10))
    return durations


# Name, outcomes of the requests at 0 s (True if answered, False if failed, None if
# given up), time at which the risk is read in s, and the bounds that it must
# lie within.
CASES = [
    ("no evidence", [], 0.0, (INITIAL_RISK, INITIAL_RISK)),
    ("an answer", [True], 0.0, (0.0, 0.05)),
    ("answers", [True] * 5, 0.0, (0.0, 0.01)),
    ("an error among answers", [True, True, False, True, True], 0.0, (0.0, 0.1)),
    ("an error", [True, False], 0.0, (0.2, 0.9)),
    ("errors", [False] * 3, 0.0, (0.98, 1.0)),
    ("errors long ago", [False] * 3, 30.0, (0.2, 0.4)),
    ("an answer long ago", [True] * 5, 30.0, (0.2, 0.4)),
    ("given up at once", [None], 0.0, (INITIAL_RISK, 0.2)),
]


@pytest.mark.parametrize(
    ("outcomes", "later_s", "bounds"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_risk_follows_the_outcomes(
    outcomes: list[bool | None], later_s: float, bounds: tuple[float, float]
) -> None:
    liveness = Liveness(0.0)
    for number, is_good in enumerate(outcomes):
        liveness.record_sent(str(number), make_estimate().survival, 0.0)
        liveness.record_end(str(number), 0.0, is_good=is_good)
    assert bounds[0] <= liveness.risk(later_s) <= bounds[1]


def test_risk_grows_with_the_age_of_an_open_request() -> None:
    liveness = Liveness(0.0)
    for number in range(5):
        liveness.record_sent(str(number), make_estimate().survival, number * 0.1)
        liveness.record_end(str(number), number * 0.1 + 0.1, is_good=True)
    liveness.record_sent("open", make_estimate().survival, 0.6)
    risks = [liveness.risk(0.6 + age) for age in (0.0, 0.1, 0.2, 0.4, 0.9)]
    assert risks == sorted(risks)
    assert risks[0] < 0.05
    assert risks[-1] > 0.5


# A duration of 5e-324 s once raised an error when its logarithm was taken.
@example([(0.0, True), (5e-324, True)])
@given(st.lists(st.tuples(st.floats(0, 1), st.sampled_from([True, False, None]))))
def test_risk_is_a_probability(steps: list[tuple[float, bool | None]]) -> None:
    liveness = Liveness(0.0)
    now = 0.0
    for number, (wait_s, is_good) in enumerate(steps):
        now += wait_s
        liveness.record_sent(str(number), make_estimate().survival, now)
        if number % 3:
            liveness.record_end(str(number), now, is_good=is_good)
        assert 0.0 <= liveness.risk(now) < 1.0


def test_old_evidence_is_kept_in_the_prior_risk() -> None:
    liveness = Liveness(0.0)
    for number in range(400):
        now = number * 0.1
        liveness.record_sent(str(number), make_estimate().survival, now)
        liveness.record_end(str(number), now, is_good=True)
    assert liveness.risk(40.0) < 0.01
    assert liveness.idle_s(40.0 + WINDOW_S) > WINDOW_S


@pytest.mark.parametrize(
    ("seconds", "least", "most"),
    [(0.0, 1.0, 1.0), (0.05, 0.95, 1.0), (0.1, 0.3, 0.7), (0.3, 0.0, 0.06)],
)
def test_survival_matches_the_recorded_durations(
    seconds: float, least: float, most: float
) -> None:
    assert least <= make_estimate().survival(seconds) <= most


def test_a_straggler_hardly_changes_the_90th_percentile() -> None:
    durations = make_estimate()
    before = durations.p90_s
    durations.record(10.0)
    assert durations.p90_s < 1.5 * before


# Name, what happens to a request that is sent at 0 s, and bounds of the risk at 3 s.
# Its route usually takes 0.1 s.
CALLS = [
    ("a run without calls", [], (0.5, 1.0)),
    ("a run in a call", [(0.1, "call")], (0.0, 0.2)),
    (
        "a run in the second of two calls",
        [(0.1, "call"), (0.1, "call"), (0.3, "back")],
        (0.0, 0.2),
    ),
    ("a run whose call has just ended", [(0.1, "call"), (2.9, "back")], (0.0, 0.3)),
    ("a run that hangs after its call", [(0.1, "call"), (0.3, "back")], (0.5, 1.0)),
    ("a run that failed in a call", [(0.1, "call"), (1.0, "failed")], (0.5, 1.0)),
    ("an answer during a call", [(0.1, "call"), (1.0, "good")], (0.0, 0.1)),
    (
        "a call whose end is reported late",
        [(0.1, "call"), (1.0, "good"), (2.0, "back")],
        (0.0, 0.1),
    ),
]


@pytest.mark.parametrize(
    ("events", "bounds"), [c[1:] for c in CALLS], ids=[c[0] for c in CALLS]
)
def test_a_run_that_waits_for_a_call_does_not_hang(
    events: list[tuple[float, str]], bounds: tuple[float, float]
) -> None:
    """Guards against sound servers that are taken to hang while their calls wait."""
    liveness = Liveness(0.0)
    liveness.record_sent("run", make_estimate().survival, 0.0)
    for at, event in events:
        if event == "call":
            liveness.pause("run")
        elif event == "back":
            liveness.resume("run", at)
        else:
            liveness.record_end("run", at, is_good=event == "good")
    assert bounds[0] <= liveness.risk(3.0) <= bounds[1]
