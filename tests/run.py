"""Run the formatter, the linter, the layer contracts and every test.

Usage: run [--jobs N] [--only TEXT] [JOB ...]

Each job is a process of its own with the same environment at each run. JOB is
the name of a job, as the output shows it: "ruff format", "ruff check",
"lint-imports", a test module or a feature file. Without JOB all of them run.

Options:
  --jobs N     Number of jobs at a time [default: 4].
  --only TEXT  Run the jobs whose name contains TEXT.
  -h --help    Show this text.

The last line is "N passed, N failed". The exit code is 0 only if nothing
failed but what KNOWN-RED.txt lists, and if each entry there did fail.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
from typing import Final, NamedTuple

import docopt

from tests import outcomes

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_BIN: Final = pathlib.Path(sys.executable).parent
_JOB_TIMEOUT_S: Final = 600
_INHERITED_VARIABLES: Final = ("HOME", "TMPDIR")
# These jobs load the machine themselves; they run one at a time, after all others.
_ALONE: Final = frozenset({"tests.test_untrusted_clients"})

_Reader = Callable[[pathlib.Path, int], list[outcomes.Outcome]]


class _Job(NamedTuple):
    """A process to run; `command` gets the path of a file for the outcomes."""

    name: str
    command: Callable[[pathlib.Path], list[str]]
    read: _Reader


class _Report(NamedTuple):
    """The outcomes of a job and what it printed."""

    job: str
    outcomes: list[outcomes.Outcome]
    output: str


def _check_job(name: str, *command: str) -> _Job:
    def read(_path: pathlib.Path, exit_code: int) -> list[outcomes.Outcome]:
        return [outcomes.Outcome(name, exit_code == 0, f"exit code {exit_code}")]

    return _Job(name, lambda _path: [str(_BIN / command[0]), *command[1:]], read)


def _module_job(path: pathlib.Path) -> _Job:
    module = ".".join(path.with_suffix("").parts)

    def command(output: pathlib.Path) -> list[str]:
        return [sys.executable, "-m", "tests.run_module", module, str(output)]

    def read(output: pathlib.Path, _exit_code: int) -> list[outcomes.Outcome]:
        return outcomes.read_outcomes(output)

    return _Job(module, command, read)


def _feature_job(path: pathlib.Path) -> _Job:
    def command(output: pathlib.Path) -> list[str]:
        formats = ["--format", "json", "--outfile", str(output), "--format", "plain"]
        return [str(_BIN / "behave"), "--no-color", *formats, str(path)]

    def read(output: pathlib.Path, exit_code: int) -> list[outcomes.Outcome]:
        features = json.loads(output.read_text())
        found = list(_scenarios(path, features))
        if not found or (exit_code != 0 and all(o.passed for o in found)):
            found.append(outcomes.Outcome(str(path), False, f"exit code {exit_code}"))
        return found

    return _Job(str(path), command, read)


def _scenarios(path: pathlib.Path, features: list[dict]) -> Iterator[outcomes.Outcome]:
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                status = element["status"]
                test = f"{path}: {element['name']}"
                yield outcomes.Outcome(test, status == "passed", status)


def _all_jobs() -> list[_Job]:
    paths = [
        path.relative_to(_ROOT)
        for folder in ("amaranthpulley", "tests")
        for path in sorted((_ROOT / folder).rglob("test_*.py"))
    ]
    features = sorted((_ROOT / "features").rglob("*.feature"))
    return [
        _check_job("ruff format", "ruff", "format", "--check", "--no-cache", "."),
        _check_job("ruff check", "ruff", "check", "--no-cache", "."),
        _check_job("lint-imports", "lint-imports", "--no-cache"),
        *(_module_job(path) for path in paths),
        *(_feature_job(path.relative_to(_ROOT)) for path in features),
    ]


def _environment() -> dict[str, str]:
    inherited = {
        name: os.environ[name] for name in _INHERITED_VARIABLES if name in os.environ
    }
    return {
        **inherited,
        "LANG": "C.UTF-8",
        "PATH": f"{_BIN}{os.pathsep}{os.defpath}",
        "PYTHONDONTWRITEBYTECODE": "1",
        "PYTHONHASHSEED": "0",
        "PYTHONPATH": str(_ROOT),
    }


def _run(job: _Job) -> _Report:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "outcomes.json")
        try:
            process = subprocess.run(
                job.command(path),
                cwd=_ROOT,
                env=_environment(),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=_JOB_TIMEOUT_S,
                text=True,
                errors="replace",
            )
            found = job.read(path, process.returncode)
        except subprocess.TimeoutExpired:
            detail = f"still running after {_JOB_TIMEOUT_S} s"
            return _Report(job.name, [outcomes.Outcome(job.name, False, detail)], "")
        except (OSError, ValueError):
            # The process died before it wrote its outcomes.
            detail = f"exit code {process.returncode} without outcomes"
            found = [outcomes.Outcome(job.name, False, detail)]
    return _Report(job.name, found, process.stdout)


def _print_report(report: _Report) -> None:
    failed = [outcome for outcome in report.outcomes if not outcome.passed]
    passed = len(report.outcomes) - len(failed)
    print(f"{report.job}: {passed} passed, {len(failed)} not passed", flush=True)
    if failed:
        print(report.output.rstrip(), flush=True)


def _print_verdict(verdict: outcomes.Verdict, details: dict[str, str]) -> None:
    print()
    for test in verdict.failed:
        print(f"failed: {test}: {details[test]}")
    for test in verdict.known_red:
        print(f"known red: {test}")
    for error in verdict.errors:
        print(f"error: {error}")
    failed = len(verdict.failed) + len(verdict.errors)
    print(f"{len(verdict.passed)} passed, {failed} failed")


def _select(jobs: Iterable[_Job], names: list[str], text: str | None) -> list[_Job]:
    jobs = list(jobs)
    unknown = set(names) - {job.name for job in jobs}
    if unknown:
        sys.exit(f"no such job: {', '.join(sorted(unknown))}")
    return [
        job
        for job in jobs
        if (not names or job.name in names) and (text is None or text in job.name)
    ]


def _run_all(jobs: list[_Job], parallel: int) -> Iterator[_Report]:
    with futures.ThreadPoolExecutor(parallel) as pool:
        yield from pool.map(_run, (job for job in jobs if job.name not in _ALONE))
    yield from map(_run, (job for job in jobs if job.name in _ALONE))


def main() -> int:
    """Run the jobs that the command line names and print the verdict."""
    arguments = docopt.docopt(__doc__)
    try:
        known_reds = outcomes.parse_known_reds((_ROOT / "KNOWN-RED.txt").read_text())
    except outcomes.KnownRedError as error:
        sys.exit(f"KNOWN-RED.txt: {error}")
    jobs = _select(_all_jobs(), arguments["JOB"], arguments["--only"])
    found: list[outcomes.Outcome] = []
    for report in _run_all(jobs, int(arguments["--jobs"])):
        _print_report(report)
        found += report.outcomes
    whole_run = not arguments["JOB"] and arguments["--only"] is None
    verdict = outcomes.compute_verdict(found, known_reds, whole_run)
    _print_verdict(verdict, {o.test: o.detail for o in found if not o.passed})
    return 1 if verdict.failed or verdict.errors else 0


if __name__ == "__main__":
    sys.exit(main())
