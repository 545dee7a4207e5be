"""Tests of the plots."""

import pathlib
import tempfile
import unittest

from amaranthpulley.transport.bench import domain_loss, plots, sites

PNG_SIGNATURE = b"\x89PNG"


class PlotsTest(unittest.TestCase):
    def test_experiment_without_a_plot(self) -> None:
        self.assertIsNone(plots.save("capacity", [], pathlib.Path("unused")))

    def test_plot_by_second_is_a_picture(self) -> None:
        rows = [
            domain_loss.SecondRow(policy.name, 10, second, 10, 9, 100.0)
            for policy in (sites.PLAIN, sites.FULL)
            for second in range(3)
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = plots.save("domain_loss", rows, pathlib.Path(folder))
            self.assertIsNotNone(path)
            picture = pathlib.Path(path).read_bytes()
        self.assertTrue(picture.startswith(PNG_SIGNATURE))
