"""Tests of searches while a failure domain is lost and comes back cold."""

import unittest

from amaranthpulley.transport.bench import domain_loss, sites


class ReturningDomainTest(unittest.TestCase):
    def test_short_outage_respects_the_cold_limit(self) -> None:
        self._check((1, 3, 5))

    def test_long_outage_respects_the_cold_limit(self) -> None:
        self._check((1, 8, 11))

    def _check(self, times_s: tuple[int, int, int]) -> None:
        row = domain_loss.run_trial(sites.DISPATCH, sites.FULL, 1, times_s)
        self.assertEqual(row.mixed_answers, 0)
        self.assertEqual(row.coverage_errors, 0)
        self.assertGreater(row.cold_runs, 0)
        self.assertEqual(row.falls, 0)
