"""Check the number of servers that the floor requires and the bounded weights."""

import pytest

from pimentobend_core._internal.health.capacity import PeakServerCount
from pimentobend_core._internal.health.capacity import required_servers
from pimentobend_core._internal.health.weights import WeightReduction
from pimentobend_core._internal.health.weights import bounded_weights
from pimentobend_core._internal.health.weights import ramp_weight


@pytest.mark.parametrize(
    ("floor", "size", "required"),
    [
        (0.5, 8, 4),
        (0.5, 7, 4),
        (0.7, 10, 7),
        (0.0, 8, 0),
        (1.0, 14, 14),
        (0.75, 14, 11),
        (0.5, 1, 1),
        (0.5, 0, 0),
    ],
)
def test_required_servers(floor: float, size: int, required: int) -> None:
    assert required_servers(floor, size) == required


@pytest.mark.parametrize(
    ("observed", "now", "peak"),
    [
        ([], 0.0, 0),
        ([(8, 0.0)], 10_000.0, 8),
        ([(8, 0.0), (5, 100.0)], 101.0, 8),
        ([(8, 0.0), (5, 100.0)], 701.0, 5),
        ([(8, 0.0), (5, 100.0), (4, 650.0)], 701.0, 5),
        ([(5, 0.0), (8, 1.0)], 2.0, 8),
        ([(8, 0.0), (5, 100.0), (8, 200.0)], 5000.0, 8),
    ],
)
def test_peak_server_count(
    observed: list[tuple[int, float]], now: float, peak: int
) -> None:
    peaks = PeakServerCount()
    for count, at in observed:
        peaks.observe(count, at)
    assert peaks.peak(now) == peak


@pytest.mark.parametrize(
    ("reductions", "spare_servers", "weights"),
    [
        ([], 4.0, {}),
        ([WeightReduction("1", 0.0)], 4.0, {"1": 0.0}),
        ([WeightReduction("1", 0.0), WeightReduction("2", 0.0)], 1.0, {"1": 0.0}),
        (
            [WeightReduction("1", 0.0), WeightReduction("2", 0.0)],
            1.5,
            {"1": 0.0, "2": 0.5},
        ),
        ([WeightReduction("1", 0.0), WeightReduction("1", 0.5)], 2.0, {"1": 0.0}),
        ([WeightReduction("1", 0.0)], 0.0, {}),
        ([WeightReduction("1", 0.0)], -2.0, {}),
    ],
)
def test_bounded_weights(
    reductions: list[WeightReduction], spare_servers: float, weights: dict[str, float]
) -> None:
    assert bounded_weights(reductions, spare_servers) == weights


@pytest.mark.parametrize(
    ("since_s", "weight"), [(0.0, 0.1), (7.5, 0.55), (15.0, 1.0), (99.0, 1.0)]
)
def test_ramp(since_s: float, weight: float) -> None:
    assert ramp_weight(since_s) == pytest.approx(weight)
