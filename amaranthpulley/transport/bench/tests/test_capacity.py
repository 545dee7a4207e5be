"""Tests of the capacity experiment."""

import unittest

from amaranthpulley.transport.bench import (
    capacity,
    capacity_control,
    capacity_journal,
    capacity_searches,
    capacity_tables,
    quantities,
)

SMALL_SIZE = 8
GROUPS = (capacity_tables, capacity_searches, capacity_journal, capacity_control)


class QuantityTest(unittest.TestCase):
    def test_each_has_four_sizes_in_ascending_order(self) -> None:
        for group in GROUPS:
            for quantity in group.QUANTITIES:
                with self.subTest(quantity.name):
                    self.assertGreaterEqual(len(quantity.sizes), 4)
                    self.assertEqual(sorted(set(quantity.sizes)), [*quantity.sizes])

    def test_names_are_unique(self) -> None:
        names = [q.name for group in GROUPS for q in group.QUANTITIES]
        self.assertEqual(len(names), len(set(names)))

    def test_each_can_be_measured(self) -> None:
        for group in GROUPS:
            for quantity in group.QUANTITIES:
                with self.subTest(quantity.name):
                    self.assertGreaterEqual(quantity.measure(SMALL_SIZE, 1), 0.0)


class SlopeTest(unittest.TestCase):
    def test_line_is_extended_to_the_target(self) -> None:
        quantity = quantities.Quantity(
            "rows",
            "bytes",
            "leaves",
            (1, 2, 3, 4),
            100,
            lambda size, seed: 5 + 2 * size,
        )
        row = capacity.fit_slope(
            quantity, capacity.measure_points(quantity, (1, 2, 3), 1)
        )
        self.assertAlmostEqual(row.slope, 2.0)
        self.assertAlmostEqual(row.at_target, 205.0)
        self.assertEqual(row.sizes, "1/2/3")

    def test_small_sizes_may_be_left_out(self) -> None:
        quantity = quantities.Quantity(
            "calls",
            "calls/s",
            "daemons",
            (1, 10, 20, 30),
            100,
            lambda size, seed: min(size, 10),
            fit_from=10,
        )
        points = capacity.measure_points(quantity, quantity.sizes, 1)
        row = capacity.fit_slope(quantity, points)
        self.assertEqual(len(points), 4)
        self.assertAlmostEqual(row.slope, 0.0)
        self.assertEqual(row.sizes, "10/20/30")


class ControlLoadTest(unittest.TestCase):
    def test_same_seed_gives_the_same_messages(self) -> None:
        capacity_control.control_load.cache_clear()
        first = capacity_control.control_load(3, seed=1)
        capacity_control.control_load.cache_clear()
        second = capacity_control.control_load(3, seed=1)
        self.assertEqual(first[:3], second[:3])
