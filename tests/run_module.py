"""Run the unittest module of the given name and write its outcomes as JSON.

Usage: run_module MODULE OUTCOMES
"""

import pathlib
import sys
import types
import unittest
from typing import Final

from tests import outcomes

_ExcInfo = tuple[type[BaseException], BaseException, types.TracebackType]
_DETAIL_CHARS: Final = 200


class _RecordingResult(unittest.TextTestResult):
    """Records the outcome of every test and of class fixtures that fail."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.failed: dict[str, str] = {}
        self.ran: list[str] = []

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().startTest(test)
        self.ran.append(test.id())

    def addError(self, test: unittest.TestCase, err: _ExcInfo) -> None:  # noqa: N802
        super().addError(test, err)
        self._fail(test, str(err[1]))

    def addFailure(self, test: unittest.TestCase, err: _ExcInfo) -> None:  # noqa: N802
        super().addFailure(test, err)
        self._fail(test, str(err[1]))

    def addSubTest(  # noqa: N802
        self,
        test: unittest.TestCase,
        subtest: unittest.TestCase,
        err: _ExcInfo | None,
    ) -> None:
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._fail(test, f"{subtest}: {err[1]}")

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802
        super().addSkip(test, reason)
        self._fail(test, f"skipped: {reason}")

    def addExpectedFailure(  # noqa: N802
        self, test: unittest.TestCase, err: _ExcInfo
    ) -> None:
        super().addExpectedFailure(test, err)
        self._fail(test, "expects its own failure")

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addUnexpectedSuccess(test)
        self._fail(test, "passes, but expects its own failure")

    def recorded(self) -> list[outcomes.Outcome]:
        """Return one outcome for each test that ran or whose fixture failed."""
        tests = dict.fromkeys([*self.ran, *self.failed])
        return [
            outcomes.Outcome(test, test not in self.failed, self.failed.get(test, ""))
            for test in tests
        ]

    def _fail(self, test: unittest.TestCase, detail: str) -> None:
        first_line = detail.strip().partition("\n")[0]
        self.failed.setdefault(test.id(), first_line[:_DETAIL_CHARS])


def run_module(module: str) -> list[outcomes.Outcome]:
    """Run the tests of `module`; failures are reported on standard error."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    runner = unittest.TextTestRunner(resultclass=_RecordingResult, verbosity=0)
    result = runner.run(suite)
    found = result.recorded()
    if not found:
        return [outcomes.Outcome(module, False, "holds no tests")]
    return found


if __name__ == "__main__":
    outcomes.write_outcomes(pathlib.Path(sys.argv[2]), run_module(sys.argv[1]))
