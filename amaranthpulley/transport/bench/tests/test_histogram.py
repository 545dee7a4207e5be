"""Tests of the exact histogram."""

import math
import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.transport.bench import histogram

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


class HistogramTest(unittest.TestCase):
    def test_quantiles_of_a_hundred_values(self) -> None:
        values = histogram.Histogram(range(1, 101))
        self.assertEqual(values.quantile(0.5), 50)
        self.assertEqual(values.quantile(0.99), 99)
        self.assertEqual(values.quantile(0.999), 100)
        self.assertEqual(values.mean, 50.5)

    def test_empty_histogram_has_no_quantile(self) -> None:
        self.assertTrue(math.isnan(histogram.Histogram().quantile(0.5)))
        self.assertTrue(math.isnan(histogram.Histogram().mean))

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 50), min_size=1),
        strategies.floats(0.0, 1.0),
    )
    def test_quantile_bounds_its_share(self, values: list[int], share: float) -> None:
        quantile = histogram.Histogram(values).quantile(share)
        below = sum(value <= quantile for value in values)
        self.assertGreaterEqual(below, share * len(values) - 1e-9)
        self.assertIn(quantile, values)
