"""Tests of the list of experiments and of the output."""

import json
import pathlib
import tempfile
import unittest
from typing import NamedTuple

from amaranthpulley.transport import errors
from amaranthpulley.transport.bench import report, tool


class _Row(NamedTuple):
    name: str
    value: float


class ToolTest(unittest.TestCase):
    def test_unknown_experiment_names_the_known_ones(self) -> None:
        options = tool.Options("no-such", seed=1, out=None, quick=True)
        with self.assertRaisesRegex(errors.UnknownExperimentError, "stragglers"):
            tool.run(options, lambda line: None)

    def test_names_are_unique(self) -> None:
        names = [experiment.name for experiment in tool.EXPERIMENTS]
        self.assertEqual(len(names), len(set(names)))


class ReportTest(unittest.TestCase):
    ROWS = [_Row("a", 1.0), _Row("long name", 0.33333333)]

    def test_table_aligns_the_columns(self) -> None:
        shown: list[str] = []
        report.show_table(self.ROWS, shown.append)
        self.assertEqual(
            shown,
            ["name       value", "a          1", "long name  0.3333", ""],
        )

    def test_lines_carry_command_and_seed(self) -> None:
        origin = report.Origin("trial", "amaranthpulley bench", 7, "abc")
        with tempfile.TemporaryDirectory() as folder:
            report.write_lines(self.ROWS, origin, pathlib.Path(folder))
            lines = pathlib.Path(folder, "trial.jsonl").read_text().splitlines()
        first = json.loads(lines[0])
        self.assertEqual(len(lines), 2)
        self.assertEqual((first["seed"], first["name"]), (7, "a"))
        self.assertEqual(first["command"], "amaranthpulley bench")
