"""Check the fitted line and the percentile of readings."""

import pytest

from pimentobend_bench._internal.capacity.fit import Point
from pimentobend_bench._internal.capacity.fit import fit_line
from pimentobend_bench._internal.capacity.hop.command import percentile

LINES = {
    "exact": ([(1, 5.0), (2, 7.0), (4, 11.0)], 2.0, 3.0, 0.0),
    "flat": ([(1, 4.0), (2, 4.0), (3, 4.0), (9, 4.0)], 0.0, 4.0, 0.0),
    "zero": ([(1, 0.0), (2, 0.0)], 0.0, 0.0, 0.0),
    "falling": ([(0, 10.0), (10, 0.0)], -1.0, 10.0, 0.0),
    "bent": ([(0, 0.0), (1, 0.0), (2, 0.0), (3, 4.0)], 1.2, -0.8, 0.4),
}


@pytest.mark.parametrize(
    ("points", "slope", "intercept", "residual"), LINES.values(), ids=LINES.keys()
)
def test_line(
    points: list[tuple[int, float]], slope: float, intercept: float, residual: float
) -> None:
    line = fit_line([Point(*point) for point in points])
    assert tuple(line) == pytest.approx((slope, intercept, residual))


@pytest.mark.parametrize("points", [[], [(3, 1.0)], [(3, 1.0), (3, 2.0)]])
def test_line_needs_two_sizes(points: list[tuple[int, float]]) -> None:
    with pytest.raises(ValueError):
        fit_line([Point(*point) for point in points])


@pytest.mark.parametrize(
    ("count", "share", "expected"),
    [(1, 0.99, 1), (2, 0.5, 1), (3, 0.5, 2), (100, 0.99, 99), (101, 0.99, 100)],
)
def test_percentile(count: int, share: float, expected: int) -> None:
    assert percentile(range(1, count + 1), share) == expected
