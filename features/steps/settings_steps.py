"""Steps for the settings file."""

import copy
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
from typing import Any, Final

import behave
from behave import runner

START_TIMEOUT_S: Final = 30
_VALID_SETTINGS: Final = {
    "vm_name": "vm-1",
    "failure_domain": "Recife",
    "region": "Recife",
    "listen": {"ip": "127.0.0.1", "caller_port": 0, "admin_port": 0, "peer_port": 0},
    "platform": {
        "store_address": "127.0.0.1:9",
        "vm_list_address": "127.0.0.1:9",
    },
    "limits": {},
}


class SettingsSubject:
    """A settings file and the result of the command that read it."""

    def __init__(self) -> None:
        self.settings: dict[str, Any] = copy.deepcopy(_VALID_SETTINGS)
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name, "settings.json")
        self.result: subprocess.CompletedProcess | None = None

    def locate(self, key: str) -> tuple[dict[str, Any], str]:
        """Return the object that holds a dotted key, and the key's last part."""
        *parents, last = key.split(".")
        container = self.settings
        for parent in parents:
            container = container[parent]
        return container, last

    def run(self, *arguments: str) -> None:
        """Run a command on the settings file and store its result."""
        if not self.path.exists() and self.settings:
            self.path.write_text(json.dumps(self.settings))
        self.result = subprocess.run(
            [sys.executable, "-m", "amaranthpulley", *arguments, str(self.path)],
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )


@behave.given("valid settings")
def give_settings(context: runner.Context) -> None:
    context.subject = SettingsSubject()
    context.add_cleanup(context.subject.folder.cleanup)


@behave.given("the settings with {key} set to {value}")
def change_settings(context: runner.Context, key: str, value: str) -> None:
    container, last = context.subject.locate(key)
    container[last] = json.loads(value)


@behave.given("the settings without {key}")
def remove_setting(context: runner.Context, key: str) -> None:
    container, last = context.subject.locate(key)
    del container[last]


@behave.given("a settings file that is {state}")
def give_file(context: runner.Context, state: str) -> None:
    subject = context.subject
    subject.settings = {}
    contents = {"no JSON": b"{", "not UTF-8": b"\xff\xfe", "a list": b"[]"}
    if state == "a folder":
        subject.path.mkdir()
    elif state in contents:
        subject.path.write_bytes(contents[state])


@behave.given("another process that listens on {key}")
def take_port(context: runner.Context, key: str) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    container, last = context.subject.locate(key)
    container[last] = listener.getsockname()[1]


@behave.when("the settings are checked")
def check_settings(context: runner.Context) -> None:
    context.subject.run("settings", "check")


@behave.when("the daemon is started")
def start_daemon(context: runner.Context) -> None:
    context.subject.run("daemon", "--settings")


@behave.then("the exit code is {code:d}")
def compare_exit_code(context: runner.Context, code: int) -> None:
    result = context.subject.result
    assert result.returncode == code, (result.returncode, result.stderr)


@behave.then('the single line of the error contains "{text}"')
def compare_error(context: runner.Context, text: str) -> None:
    lines = context.subject.result.stderr.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines[0]
