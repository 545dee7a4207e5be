"""Linear regression through measured points."""

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
    """Fit a line to points by least squares.

    The fit minimizes relative residuals, so that small sizes weigh as much as large
    ones, or absolute residuals if some value is 0.

    Parameters
    ----------
    points : sequence of (float, float)
        At least two points with different x.
    """
    relative = all(y != 0 for _, y in points)
    weights = [1 / y**2 if relative else 1.0 for _, y in points]
    total = sum(weights)
    weighted = list(zip(weights, points, strict=True))
    mean_x = sum(w * x for w, (x, _) in weighted) / total
    mean_y = sum(w * y for w, (_, y) in weighted) / total
    spread = sum(w * (x - mean_x) ** 2 for w, (x, _) in weighted)
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in weighted) / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - (intercept + slope * x) for x, y in points]
    error = math.nan
    if len(points) > 2:
        squares = sum(w * r * r for w, r in zip(weights, residuals, strict=True))
        error = math.sqrt(squares / (len(points) - 2) / spread)
    shares = [abs(r / y) for r, (_, y) in zip(residuals, points, strict=True) if y != 0]
    return LinearFit(intercept, slope, error, max(shares, default=0.0))
