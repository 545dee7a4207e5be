"""Steps for the check of a configuration before it is sent."""

import contextlib
import copy
import io
import json
import pathlib
import subprocess
import tempfile
from typing import Any, Final

import behave
from behave import runner

from amaranthpulley import cli
from amaranthpulley.platform import configuration_command
from amaranthpulley.platform.tests import wire_samples

# Part of each key in the configurations of these steps.
_KEY_MARK: Final = "secret"
_CONTENTS: Final = {
    "no JSON": b"{",
    "not UTF-8": b"\xff\xfe",
    "a list": b"[]",
    "empty": b"",
    "too large": b"[" + b" " * configuration_command.MAXIMUM_BYTES + b"]",
}


def _configuration() -> dict[str, Any]:
    weighted = [
        {"Service": "visits", "Weight": 1.0},
        {"Service": "shard-0", "Weight": 3.0},
    ]
    split = wire_samples.visit_route(
        Name="split", PathPrefix="/split/", Service=None, WeightedBackends=weighted
    )
    whole = wire_samples.configuration(
        3, wire_samples.route(), wire_samples.visit_route(), split
    )
    whole["Limits"]["MaxBodyBytes"] = 18_000
    whole["Services"][3].update(WarmupPerS=3, WarmupS=5)
    acme = {"Name": "acme", "ApiKeys": ["secret-a1", "secret-a2"]}
    umbra = {"Name": "umbra", "ApiKeys": ["secret-b1"], "AllowedRegions": ["a"]}
    whole["Tenants"] = [{**acme, "RatePerS": 9, "Burst": 9}, umbra]
    return whole


class ConfigurationSubject:
    """A configuration file and the result of the command that read it."""

    def __init__(self) -> None:
        self.configuration = _configuration()
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name, "configuration.json")
        self.in_force = pathlib.Path(self.folder.name, "in-force.json")
        self.prefix = ""
        self.result: subprocess.CompletedProcess | None = None

    def set(self, path: str, value: Any) -> None:
        """Set a value; the parts of a path are separated by dots."""
        *parents, last = path.split(".")
        place: Any = self.configuration
        for parent in parents:
            place = place[int(parent) if isinstance(place, list) else parent]
        place[int(last) if isinstance(place, list) else last] = value

    def run(self, *options: str) -> None:
        """Run the command on the file and store its result."""
        if self.configuration:
            text = json.dumps(self.configuration)
            self.path.write_text("{" + self.prefix + text[1:])
        words = ["configuration", "check", str(self.path), *options]
        output, problems = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(problems):
            code = cli.main(words)
        self.result = subprocess.CompletedProcess(
            words, code, output.getvalue(), problems.getvalue()
        )


@behave.given("a configuration in order")
def give_configuration(context: runner.Context) -> None:
    context.subject = ConfigurationSubject()
    context.add_cleanup(context.subject.folder.cleanup)


@behave.given("a configuration with {path} set to {value}")
def change_configuration(context: runner.Context, path: str, value: str) -> None:
    context.subject.set(path, json.loads(value))


@behave.given("a configuration that begins with the version {number:d}")
def repeat_name(context: runner.Context, number: int) -> None:
    context.subject.prefix = f'"Version": {number}, '


@behave.given("a configuration file that is {state}")
def give_configuration_file(context: runner.Context, state: str) -> None:
    subject = context.subject
    subject.configuration = {}
    if state == "a folder":
        subject.path.mkdir()
    elif state in _CONTENTS:
        subject.path.write_bytes(_CONTENTS[state])


@behave.given(
    "a version in force with the number {number:d} and the rest of the configuration"
)
def give_version_in_force(context: runner.Context, number: int) -> None:
    subject = context.subject
    in_force = {**copy.deepcopy(subject.configuration), "Version": number}
    subject.in_force.write_text(json.dumps(in_force))


@behave.given("a version in force without a configuration")
def give_no_version_in_force(context: runner.Context) -> None:
    context.subject.in_force.write_text("{}")


@behave.when("the configuration is checked")
def check_configuration(context: runner.Context) -> None:
    context.subject.run()


@behave.when('the configuration is checked for the regions "{regions}"')
def check_configuration_for_regions(context: runner.Context, regions: str) -> None:
    context.subject.run("--regions", regions)


@behave.when("the configuration is compared")
def compare_configuration(context: runner.Context) -> None:
    context.subject.run("--in-force", str(context.subject.in_force))


@behave.when("the configuration is compared for programs")
def compare_configuration_for_programs(context: runner.Context) -> None:
    context.subject.run("--in-force", str(context.subject.in_force), "--json")


@behave.then("nothing is found")
def expect_nothing(context: runner.Context) -> None:
    assert context.subject.result.stdout == "", context.subject.result.stdout


@behave.then('the findings have an error at {path} with "{text}"')
def expect_error(context: runner.Context, path: str, text: str) -> None:
    _expect_line(context, f"error {path}: ", text)


@behave.then('the findings have a warning at {path} with "{text}"')
def expect_warning(context: runner.Context, path: str, text: str) -> None:
    _expect_line(context, f"warning {path}: ", text)


def _expect_line(context: runner.Context, begin: str, text: str) -> None:
    lines = context.subject.result.stdout.splitlines()
    assert any(line.startswith(begin) and text in line for line in lines), lines


@behave.then('the first change is {risk} and says "{text}"')
def expect_first_change(context: runner.Context, risk: str, text: str) -> None:
    lines = context.subject.result.stdout.splitlines()
    changes = [line for line in lines if line.startswith(("risky ", "change "))]
    if text.startswith("Version") or risk == "risky":
        found = changes[0]
    else:
        # The higher version is the first of the changes without risk.
        found = changes[1]
        assert not any(line.startswith("risky ") for line in changes), changes
    assert found.startswith(f"{risk} ") and text in found, lines


@behave.then(
    "the object has {findings:d} finding and {changes:d} changes, "
    "the first of which is risky"
)
def expect_object(context: runner.Context, findings: int, changes: int) -> None:
    shown = json.loads(context.subject.result.stdout)
    assert len(shown["findings"]) == findings, shown
    assert len(shown["changes"]) == changes, shown
    assert [change["risky"] for change in shown["changes"]] == [True, False], shown


@behave.then("no key is printed")
def expect_no_key(context: runner.Context) -> None:
    result = context.subject.result
    assert _KEY_MARK not in result.stdout + result.stderr, result
