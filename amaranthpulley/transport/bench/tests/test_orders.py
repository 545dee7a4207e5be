"""Tests of the experiment with orders."""

import unittest

from amaranthpulley.transport.bench import orders


class OrdersExperimentTest(unittest.TestCase):
    """A quick run of the whole experiment."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.rows = orders.run(seed=1, quick=True)

    def test_higher_rate_needs_fewer_store_writes_per_order(self) -> None:
        costs = [row for row in self.rows if isinstance(row, orders.OrderCostRow)]
        self.assertTrue(all(row.done == row.orders for row in costs))
        self.assertLess(costs[-1].writes_for_each, costs[0].writes_for_each)

    def test_faults_cause_no_double_run_or_false_not_run(self) -> None:
        faults = [row for row in self.rows if isinstance(row, orders.OrderFaultRow)]
        self.assertEqual(len(faults), len(orders.FAULTS))
        for row in faults:
            with self.subTest(row.fault):
                self.assertEqual((row.runs_over_one, row.false_not_run), (0, 0))
                self.assertGreater(row.done, row.orders // 2)
