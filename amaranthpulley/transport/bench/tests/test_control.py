"""Tests of the experiment with control work."""

import unittest

from amaranthpulley.transport.bench import control

MAXIMUM_SPREAD_MS = 5_000


class ControlBenchTest(unittest.TestCase):
    def test_rows(self) -> None:
        rows = control.run(seed=1, quick=True)
        spreads = [row for row in rows if isinstance(row, control.Spread)]
        self.assertEqual({row.fault for row in spreads}, set(control.FAULTS))
        for row in spreads:
            self.assertEqual(row.missing, 0, row)
            self.assertLess(row.largest_ms, MAXIMUM_SPREAD_MS, row)
        costs = [row for row in rows if isinstance(row, control.ControlCost)]
        calls = {(row.changes_a_day, row.store_calls_per_second) for row in costs}
        self.assertEqual(len(calls), 2, "store calls grow with the daemons")
        [recovery] = [row for row in rows if isinstance(row, control.Recovery)]
        self.assertLess(recovery.largest_ms, 10_000)
