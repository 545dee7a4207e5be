"""Outcomes of tests and the verdict on a run.

Each test runner writes a list of `Outcome` records. A test that skips
itself or expects its own failure counts as failed: only `KNOWN-RED.txt`
lists tests that are known to fail.
"""

import json
import pathlib
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Prefix of `seen` for a test that fails intermittently, and so may also pass.
FLAKY: Final = "flaky:"
_ENTRY_KEYS: Final = ("test", "command", "seed", "seen", "issue")


class Outcome(NamedTuple):
    """The outcome of one test, scenario or check."""

    test: str
    passed: bool
    detail: str = ""


class KnownRed(NamedTuple):
    """An entry of ``KNOWN-RED.txt``."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


class KnownRedError(Exception):
    """``KNOWN-RED.txt`` is malformed."""


class Verdict(NamedTuple):
    """The outcomes of a run, compared with the known reds."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]
    known_red: tuple[str, ...]
    errors: tuple[str, ...]


def write_outcomes(path: pathlib.Path, outcomes: Iterable[Outcome]) -> None:
    """Write `outcomes` to `path` as JSON."""
    path.write_text(json.dumps([outcome._asdict() for outcome in outcomes]))


def read_outcomes(path: pathlib.Path) -> list[Outcome]:
    """Read the outcomes that `write_outcomes` wrote to `path`."""
    return [Outcome(**record) for record in json.loads(path.read_text())]


def parse_known_reds(text: str) -> list[KnownRed]:
    """Parse the entries of ``KNOWN-RED.txt``.

    Raises
    ------
    KnownRedError
        If a line has no known key, or an entry has no value for a key or
        repeats a test.
    """
    blocks: list[dict[str, str]] = [{}]
    for line in text.splitlines():
        if line.startswith("#"):
            continue
        if not line.strip():
            blocks.append({})
            continue
        key, colon, value = line.partition(":")
        if not colon or key not in _ENTRY_KEYS or key in blocks[-1]:
            raise KnownRedError(f"unexpected line {line!r}")
        blocks[-1][key] = value.strip()
    entries = [_known_red(block) for block in blocks if block]
    if len({entry.test for entry in entries}) < len(entries):
        raise KnownRedError("a test is listed twice")
    return entries


def _known_red(block: Mapping[str, str]) -> KnownRed:
    missing = [key for key in _ENTRY_KEYS if not block.get(key)]
    if missing:
        raise KnownRedError(f"entry {dict(block)} lacks {', '.join(missing)}")
    return KnownRed(**block)


def compute_verdict(
    outcomes: Iterable[Outcome], known_reds: Iterable[KnownRed], whole_run: bool
) -> Verdict:
    """Compare `outcomes` with the known reds.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Outcomes of the run. A test with several outcomes passes if all do.
    known_reds : iterable of KnownRed
        Tests whose failure does not fail the run.
    whole_run : bool
        Whether every job ran, in which case each known red must have run too.

    Returns
    -------
    Verdict
        A known red counts neither as passed nor as failed. It is an error if it
        passes without being flaky, or is missing from a whole run.
    """
    passes = _passes(outcomes)
    flaky = {entry.test: entry.seen.startswith(FLAKY) for entry in known_reds}
    known = flaky.keys()
    errors = [
        f"KNOWN-RED.txt: {test} passes: remove the entry"
        for test in sorted(known)
        if passes.get(test, False) and not flaky[test]
    ]
    if whole_run:
        errors += [
            f"KNOWN-RED.txt: {test} did not run"
            for test in sorted(known - passes.keys())
        ]
    failed = sorted(test for test, passed in passes.items() if not passed)
    return Verdict(
        passed=tuple(sorted(test for test, passed in passes.items() if passed)),
        failed=tuple(test for test in failed if test not in known),
        known_red=tuple(test for test in failed if test in known),
        errors=tuple(errors),
    )


def _passes(outcomes: Iterable[Outcome]) -> dict[str, bool]:
    passes: dict[str, bool] = {}
    for outcome in outcomes:
        passes[outcome.test] = passes.get(outcome.test, True) and outcome.passed
    return passes
