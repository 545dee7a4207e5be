"""Straight lines through measured points, by least squares."""

import math
from collections.abc import Sequence
from typing import NamedTuple


class LinearFit(NamedTuple):
    """The line ``intercept + slope * x``.

    Attributes
    ----------
    intercept, slope : float
        In the units of the measured values.
    slope_error : float
        Standard error of the slope; NaN for fewer than three points.
    largest_residual : float
        Largest distance of a point from the line, as a share of the point's value.
    """

    intercept: float
    slope: float
    slope_error: float
    largest_residual: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Return the line of least squares through points.

    Parameters
    ----------
    points : sequence of (float, float)
        At least two, with different x.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - (intercept + slope * x) for x, y in points]
    error = math.nan
    if count > 2:
        variance = sum(r * r for r in residuals) / (count - 2)
        error = math.sqrt(variance / spread)
    shares = [abs(r / y) for r, (_, y) in zip(residuals, points, strict=True) if y != 0]
    return LinearFit(intercept, slope, error, max(shares, default=0.0))
