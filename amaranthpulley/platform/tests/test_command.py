"""Tests of failed starts on the platform: exit codes and error output."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from amaranthpulley.platform import names
from amaranthpulley.platform.tests import wire_samples

_ROOT = pathlib.Path(__file__).resolve().parents[3]


class StartTest(unittest.TestCase):
    """Starts with invalid settings or a port that is in use."""

    def _start(self, text: bytes | None) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            if text is not None:
                path.write_bytes(text)
            return subprocess.run(
                [sys.executable, "-m", "amaranthpulley", "forward"],
                cwd=_ROOT,
                env={**os.environ, names.SETTINGS_VARIABLE: str(path)},
                capture_output=True,
                text=True,
                timeout=60,
            )

    def test_invalid_settings_print_one_line(self) -> None:
        whole = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:9"))
        incomplete = {key: value for key, value in whole.items() if key != "Zone"}
        cases = {
            "no file": None,
            "no JSON": b"{",
            "a field is missing": json.dumps(incomplete).encode(),
            "a type is wrong": json.dumps({**whole, "Zone": 4}).encode(),
            "a bound is wrong": json.dumps(
                {**whole, "Bounds": {"DrainMs": "soon"}}
            ).encode(),
        }
        for name, text in cases.items():
            with self.subTest(name):
                ended = self._start(text)
                self.assertEqual(ended.returncode, 2, ended.stderr)
                self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)

    def test_port_in_use_prints_one_line(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            host, port = taken.getsockname()
            whole = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:9"))
            whole["BindAddrs"]["FrontAddr"] = f"{host}:{port}"
            ended = self._start(json.dumps(whole).encode())
        self.assertEqual(ended.returncode, 1, ended.stderr)
        self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)
        self.assertIn(f"{host}:{port}", ended.stderr)
