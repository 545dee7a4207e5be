"""Tests of the start on the platform: what ends it, and how."""

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
    """Settings that are wrong, and ports that are taken."""

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

    def test_wrong_settings_end_the_start_with_one_line(self) -> None:
        whole = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:9"))
        lacking = {key: value for key, value in whole.items() if key != "Zone"}
        cases = {
            "no file": None,
            "no JSON": b"{",
            "a field is missing": json.dumps(lacking).encode(),
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

    def test_a_port_that_is_taken_ends_the_start_with_one_line(self) -> None:
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
