"""Steps about the settings file."""

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
_IN_ORDER: Final = {
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
    """A settings file and what the command line made of it."""

    def __init__(self) -> None:
        self.settings: dict[str, Any] = copy.deepcopy(_IN_ORDER)
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name, "settings.json")
        self.ended: subprocess.CompletedProcess | None = None

    def place(self, key: str) -> tuple[dict[str, Any], str]:
        """Return the object that holds a dotted key, and the key's last word."""
        *parents, last = key.split(".")
        holder = self.settings
        for parent in parents:
            holder = holder[parent]
        return holder, last

    def run(self, *words: str) -> None:
        """Run the command line and keep how it ended."""
        if not self.path.exists() and self.settings:
            self.path.write_text(json.dumps(self.settings))
        self.ended = subprocess.run(
            [sys.executable, "-m", "amaranthpulley", *words, str(self.path)],
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )


@behave.given("settings that are in order")
def give_settings(context: runner.Context) -> None:
    context.subject = SettingsSubject()
    context.add_cleanup(context.subject.folder.cleanup)


@behave.given("the settings with {key} set to {value}")
def change_settings(context: runner.Context, key: str, value: str) -> None:
    holder, last = context.subject.place(key)
    holder[last] = json.loads(value)


@behave.given("the settings without {key}")
def remove_setting(context: runner.Context, key: str) -> None:
    holder, last = context.subject.place(key)
    del holder[last]


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
    holder, last = context.subject.place(key)
    holder[last] = listener.getsockname()[1]


@behave.when("the settings are checked")
def check_settings(context: runner.Context) -> None:
    context.subject.run("settings", "check")


@behave.when("the daemon is started")
def start_daemon(context: runner.Context) -> None:
    context.subject.run("daemon", "--settings")


@behave.then("the exit code is {code:d}")
def compare_exit_code(context: runner.Context, code: int) -> None:
    ended = context.subject.ended
    assert ended.returncode == code, (ended.returncode, ended.stderr)


@behave.then('the one line of the error holds "{text}"')
def compare_error(context: runner.Context, text: str) -> None:
    lines = context.subject.ended.stderr.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines[0]
