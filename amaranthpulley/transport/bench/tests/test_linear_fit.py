"""Tests of the linear regression."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.transport.bench import linear_fit

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
NUMBERS = strategies.integers(-1_000, 1_000)


class LinearFitTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(NUMBERS, NUMBERS)
    def test_points_of_a_line_give_the_line(self, intercept: int, slope: int) -> None:
        fitted = linear_fit.fit([(x, intercept + slope * x) for x in (1, 2, 5, 9)])
        self.assertAlmostEqual(fitted.slope, slope, places=6)
        self.assertAlmostEqual(fitted.intercept, intercept, places=6)
        self.assertAlmostEqual(fitted.slope_error, 0.0, places=6)

    def test_error_of_the_slope(self) -> None:
        fitted = linear_fit.fit([(0, 0), (1, 2), (2, 2), (3, 4)])
        self.assertAlmostEqual(fitted.slope, 1.2)
        self.assertAlmostEqual(fitted.slope_error, (0.8 / 2 / 5) ** 0.5)
        self.assertAlmostEqual(fitted.at(10), 0.2 + 12)

    def test_relative_residuals_are_minimized(self) -> None:
        # With two points at each end, the line passes through the value at each end
        # that minimizes the squared relative residuals.
        fitted = linear_fit.fit([(1, 1), (1, 3), (1_000, 1_000), (1_000, 1_000)])
        self.assertAlmostEqual(fitted.at(1), (1 / 1 + 3 / 9) / (1 / 1 + 1 / 9))
        self.assertAlmostEqual(fitted.at(1_000), 1_000)
