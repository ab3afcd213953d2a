"""Check how attempts change the detectors' scores."""

import math

import pytest

from pimentobend_core._internal.health.detectors import Detector
from pimentobend_core._internal.health.detectors import FailureDetector
from pimentobend_core._internal.health.detectors import LatencyDetector
from pimentobend_core._internal.health.detectors import Sample
from pimentobend_core._internal.health.limits import SCORE_LIMIT
from pimentobend_core._internal.health.limits import SUSPECT_SCORE

FAST = Sample(failed=False, excess=0.0)
SLOW = Sample(failed=False, excess=math.log(5))
STRAGGLER = Sample(failed=False, excess=math.log(30))
UNKNOWN = Sample(failed=False, excess=None)
FAILED = Sample(failed=True, excess=None)


@pytest.mark.parametrize(
    ("detector", "samples", "is_suspect"),
    [
        (LatencyDetector(), [SLOW] * 10, True),
        (LatencyDetector(), [SLOW] * 3, False),
        (LatencyDetector(), [STRAGGLER] * 3, False),
        (LatencyDetector(), [STRAGGLER, FAST, FAST] * 50, False),
        (LatencyDetector(), [UNKNOWN] * 50, False),
        (LatencyDetector(), [FAILED] * 50, False),
        (FailureDetector(), [FAILED] * 4, True),
        (FailureDetector(), [FAILED, FAST] * 8, True),
        (FailureDetector(), [FAILED, *[FAST] * 9] * 20, False),
        (FailureDetector(), [SLOW] * 50, False),
    ],
    ids=[
        "slow",
        "slow-thrice",
        "three-stragglers",
        "stragglers-among-fast",
        "no-peers",
        "failures-are-not-slow",
        "failing",
        "failing-half",
        "failing-a-tenth",
        "slow-is-no-failure",
    ],
)
def test_scores(detector: Detector, samples: list[Sample], is_suspect: bool) -> None:
    for sample in samples:
        detector.add(sample)
    assert (detector.score >= SUSPECT_SCORE) is is_suspect


@pytest.mark.parametrize(
    "detector", [LatencyDetector(), FailureDetector()], ids=["slow", "failing"]
)
def test_a_score_is_bounded_and_decays(detector: Detector) -> None:
    for sample in [STRAGGLER, FAILED] * 100:
        detector.add(sample)
    assert detector.score == SCORE_LIMIT
    detector.decay(1000.0)
    assert detector.score == 0.0
