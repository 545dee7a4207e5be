"""Tests of the test runner, in a temporary repository."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import textwrap
import unittest
from typing import Final

_TESTS: Final = pathlib.Path(__file__).resolve().parent
_RUNNER_FILES: Final = ("__init__.py", "outcomes.py", "run.py", "run_module.py")
_ID: Final = "tests.test_example.ExampleTest"

_MODULE: Final = '''\
"""Outcomes of every kind."""
import unittest

class ExampleTest(unittest.TestCase):
    def test_passes(self):
        with self.subTest(1):
            pass

    def test_fails(self):
        self.fail("first line\\nsecond line")

    def test_raises(self):
        raise ValueError("wrong")

    def test_fails_in_two_subtests(self):
        for number in range(2):
            with self.subTest(number):
                self.fail("in a subtest")

    def test_skips(self):
        self.skipTest("not today")

    @unittest.expectedFailure
    def test_expects_failure(self):
        self.fail("as expected")

    @unittest.expectedFailure
    def test_passes_unexpectedly(self):
        pass

class BrokenFixtureTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise ValueError("fixture")

    def test_never_runs(self):
        pass
'''

_FEATURE: Final = """\
Feature: Example
  Background:
    Given a step that passes

  Scenario: Passes
    When a step that passes

  Scenario Outline: Outline
    When a step that <outcome>

    Examples:
      | outcome |
      | passes  |
      | fails   |

  Scenario: Undefined
    When nobody defined this
"""

_STEPS: Final = '''\
"""Steps."""
import behave

@behave.step("a step that passes")
def step_passes(context):
    pass

@behave.step("a step that fails")
def step_fails(context):
    assert False
'''

_KNOWN_RED: Final = """\
test: {test}
command: make test
seed: none
seen: fails
issue: 3

"""


class RunTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        for name in _RUNNER_FILES:
            self._write(f"tests/{name}", (_TESTS / name).read_text())
        self._write("KNOWN-RED.txt", "")

    def _write(self, name: str, text: str) -> None:
        path = self.root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)

    def _run(self, *arguments: str) -> tuple[int, list[str]]:
        result = subprocess.run(
            [sys.executable, "-m", "tests.run", *arguments],
            cwd=self.root,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.stderr, "")
        return result.returncode, result.stdout.splitlines()

    def test_jobs_that_load_the_machine_run_last(self) -> None:
        # Guards against a module whose load disturbs others, or is disturbed.
        passing = _MODULE[: _MODULE.index("    def test_fails")]
        for name in ("test_untrusted_clients", "test_zebra"):
            self._write(f"tests/{name}.py", passing)
        exit_code, lines = self._run("tests.test_untrusted_clients", "tests.test_zebra")
        self.assertEqual(exit_code, 0)
        names = [line.partition(":")[0] for line in lines[:2]]
        self.assertEqual(names, ["tests.test_zebra", "tests.test_untrusted_clients"])

    def test_outcomes_of_a_module(self) -> None:
        self._write("tests/test_example.py", _MODULE)
        exit_code, lines = self._run("tests.test_example")
        self.assertEqual(exit_code, 1)
        self.assertEqual(lines[-1], "1 passed, 7 failed")
        failed = [line for line in lines if line.startswith("failed: ")]
        expected = [
            "failed: setUpClass (tests.test_example.BrokenFixtureTest): fixture",
            f"failed: {_ID}.test_expects_failure: expects its own failure",
            f"failed: {_ID}.test_fails: first line",
            f"failed: {_ID}.test_fails_in_two_subtests",
            f"failed: {_ID}.test_passes_unexpectedly: passes",
            f"failed: {_ID}.test_raises: wrong",
            f"failed: {_ID}.test_skips: skipped: not today",
        ]
        self.assertEqual(len(failed), len(expected))
        for line, start in zip(failed, expected, strict=True):
            self.assertTrue(line.startswith(start), f"{line!r}, not {start!r}")

    def test_outcomes_of_a_feature(self) -> None:
        self._write("features/example.feature", _FEATURE)
        self._write("features/steps/example.py", _STEPS)
        exit_code, lines = self._run("features/example.feature")
        self.assertEqual(exit_code, 1)
        self.assertEqual(lines[-1], "2 passed, 2 failed")
        failed = [line for line in lines if line.startswith("failed: ")]
        self.assertIn("Outline -- @1.2", failed[0])
        self.assertIn("Undefined", failed[1])

    def test_modules_without_outcomes_fail(self) -> None:
        cases = {
            "dies": ("import os\nos._exit(3)\n", "exit code 3 without outcomes"),
            "cannot be imported": ("import missing_module\n", "test_example"),
            "holds no tests": ('"""Docstring."""\n', "holds no tests"),
        }
        for name, (text, message) in cases.items():
            with self.subTest(name):
                self._write("tests/test_example.py", text)
                exit_code, lines = self._run("--only", "example")
                self.assertEqual((exit_code, lines[-1]), (1, "0 passed, 1 failed"))
                self.assertIn(message, lines[-2])

    def test_known_red_does_not_fail_the_run(self) -> None:
        text = textwrap.dedent(
            """\
            import unittest
            class ExampleTest(unittest.TestCase):
                def test_passes(self): pass
                def test_fails(self): self.fail("red")
            """
        )
        self._write("tests/test_example.py", text)
        red = _KNOWN_RED.format(test=f"{_ID}.test_fails")
        self._write("KNOWN-RED.txt", red)
        exit_code, lines = self._run("--only", "example")
        self.assertEqual(exit_code, 0)
        self.assertEqual(
            lines[-2:], [f"known red: {_ID}.test_fails", "1 passed, 0 failed"]
        )
        self._write("KNOWN-RED.txt", red + _KNOWN_RED.format(test=f"{_ID}.test_passes"))
        exit_code, lines = self._run("--only", "example")
        self.assertEqual((exit_code, lines[-1]), (1, "1 passed, 1 failed"))
        self.assertIn("remove the entry", lines[-2])

    def _run_refused(self, *arguments: str) -> str:
        result = subprocess.run(
            [sys.executable, "-m", "tests.run", *arguments],
            cwd=self.root,
            capture_output=True,
            text=True,
        )
        self.assertEqual((result.returncode, result.stdout), (1, ""))
        return result.stderr

    def test_unknown_job_is_refused(self) -> None:
        reason = self._run_refused("tests.test_missing")
        self.assertEqual(reason, "no such job: tests.test_missing\n")

    def test_malformed_known_reds_are_refused(self) -> None:
        self._write("KNOWN-RED.txt", "test: a.b\n")
        self.assertIn("KNOWN-RED.txt: entry", self._run_refused())

    def test_a_clean_run_passes_and_counts_each_check(self) -> None:
        shutil.copyfile(_TESTS.parent / "pyproject.toml", self.root / "pyproject.toml")
        exit_code, lines = self._run("ruff format", "ruff check")
        self.assertEqual((exit_code, lines[-1]), (0, "2 passed, 0 failed"))
