"""Tests of searches during rolling updates of the index version."""

import unittest

from amaranthpulley.transport.bench import rolling, sites

SHAPE = sites.DISPATCH._replace(instances=6)
SECONDS = 12


class RollingVersionsTest(unittest.TestCase):
    def test_answers_stay_complete_and_consistent(self) -> None:
        row = rolling.run_trial(SHAPE, sites.FULL, rolling.OVERLAP_MS, SECONDS, seed=1)
        self.assertGreaterEqual(row.versions, 4)
        self.assertEqual(row.mixed_answers, 0)
        self.assertEqual(row.coverage_errors, 0)
        self.assertEqual(row.refused, 0)
        self.assertEqual(row.least_coverage, 1.0)
