"""Tests of the verdict on a run and of the parsing of known reds."""

import pathlib
import tempfile
import unittest
from typing import Final

from tests import outcomes

_ENTRY: Final = """\
# A comment.

test: a.b
command: make test
seed: none
seen: 1 != 2
issue: 3
"""
_KNOWN: Final = outcomes.KnownRed("a.b", "make test", "none", "1 != 2", "3")
_PASSED: Final = outcomes.Outcome("a.b", True)
_FAILED: Final = outcomes.Outcome("a.b", False, "1 != 2")


class KnownRedTest(unittest.TestCase):
    def test_entries_are_parsed(self) -> None:
        second = _ENTRY.replace("a.b", "c.d")
        parsed = outcomes.parse_known_reds(f"{_ENTRY}\n{second}")
        self.assertEqual(parsed, [_KNOWN, _KNOWN._replace(test="c.d")])

    def test_comments_alone_give_no_entry(self) -> None:
        self.assertEqual(outcomes.parse_known_reds("# A comment.\n\n#\n"), [])

    def test_malformed_entries_are_refused(self) -> None:
        cases = {
            "unknown key": _ENTRY + "colour: red\n",
            "no key": _ENTRY + "as seen above\n",
            "repeated key": _ENTRY + "issue: 4\n",
            "missing key": "test: a.b\n",
            "empty value": _ENTRY.replace("1 != 2", ""),
            "repeated test": f"{_ENTRY}\n{_ENTRY}",
        }
        for name, text in cases.items():
            with self.subTest(name), self.assertRaises(outcomes.KnownRedError):
                outcomes.parse_known_reds(text)


class VerdictTest(unittest.TestCase):
    def test_failure_is_failed(self) -> None:
        verdict = outcomes.compute_verdict([_FAILED], [], True)
        self.assertEqual(verdict, outcomes.Verdict((), ("a.b",), (), ()))

    def test_known_red_is_neither_passed_nor_failed(self) -> None:
        verdict = outcomes.compute_verdict([_FAILED], [_KNOWN], True)
        self.assertEqual(verdict, outcomes.Verdict((), (), ("a.b",), ()))

    def test_known_red_that_passes_is_an_error(self) -> None:
        verdict = outcomes.compute_verdict([_PASSED], [_KNOWN], True)
        self.assertEqual(len(verdict.errors), 1)
        self.assertIn("remove the entry", verdict.errors[0])

    def test_flaky_known_red_may_pass_or_fail(self) -> None:
        flaky = _KNOWN._replace(seen="flaky: 1 != 2 on a busy machine")
        self.assertEqual(
            outcomes.compute_verdict([_PASSED], [flaky], True),
            outcomes.Verdict(("a.b",), (), (), ()),
        )
        self.assertEqual(
            outcomes.compute_verdict([_FAILED], [flaky], True),
            outcomes.Verdict((), (), ("a.b",), ()),
        )

    def test_known_red_that_did_not_run_is_an_error_of_a_whole_run(self) -> None:
        self.assertEqual(len(outcomes.compute_verdict([], [_KNOWN], True).errors), 1)
        self.assertEqual(outcomes.compute_verdict([], [_KNOWN], False).errors, ())

    def test_one_failure_fails_a_repeated_test(self) -> None:
        for found in ([_PASSED, _FAILED], [_FAILED, _PASSED]):
            with self.subTest(found):
                self.assertEqual(
                    outcomes.compute_verdict(found, [], True).failed, ("a.b",)
                )

    def test_outcomes_round_trip_through_a_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "outcomes.json")
            outcomes.write_outcomes(path, [_PASSED, _FAILED])
            self.assertEqual(outcomes.read_outcomes(path), [_PASSED, _FAILED])
