"""Fit a line to measured points."""

from collections.abc import Sequence
from typing import NamedTuple


class Point(NamedTuple):
    """A reading at one size."""

    size: int
    value: float


class Line(NamedTuple):
    """A least-squares line.

    ``residual`` is the largest distance of a reading from the line, as a share of
    the largest reading.
    """

    slope: float
    intercept: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Line:
    """Return the least-squares line through points of at least two sizes."""
    if len(points) < 2:
        raise ValueError("cannot fit a line to points of fewer than two sizes")
    mean_size = sum(point.size for point in points) / len(points)
    mean_value = sum(point.value for point in points) / len(points)
    spread = sum((point.size - mean_size) ** 2 for point in points)
    if not spread:
        raise ValueError("cannot fit a line to points of fewer than two sizes")
    slope = (
        sum((point.size - mean_size) * (point.value - mean_value) for point in points)
        / spread
    )
    intercept = mean_value - slope * mean_size
    line = Line(slope, intercept, 0.0)
    worst = max(abs(point.value - line.value_at(point.size)) for point in points)
    largest = max(abs(point.value) for point in points)
    return line._replace(residual=worst / largest if largest else 0.0)
