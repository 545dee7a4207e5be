"""Tests of the executable archive: contents, unpack folder and processes."""

import contextlib
import hashlib
import io
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import types
import unittest
import zipfile
from typing import Final
from unittest import mock

from tests import processes
from tools import archive_launcher, build_archive

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_EXIT_CONFIGURATION: Final = 78
_VERSION_TIMEOUT_S: Final = 60
_DEMO_TIMEOUT_S: Final = 120
# The interpreter below the virtual environment, which lacks its libraries.
_BARE_PYTHON: Final = pathlib.Path(sys.base_prefix, "bin", "python3")


def _sha256(path: pathlib.Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()


class DistTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.archive = cls.folder / "amaranthpulley"
        # A copy, so that edits during the tests do not change what is built.
        cls.package = cls.folder / "sources" / build_archive.PACKAGE.name
        shutil.copytree(build_archive.PACKAGE, cls.package)
        build_archive.build(cls.archive, cls.package)

    def _environment(self, root: pathlib.Path | None = None) -> dict[str, str]:
        path = f"{_BARE_PYTHON.parent}{os.pathsep}{os.defpath}"
        return {"PATH": path, "SHIV_ROOT": str(root or self.folder / "root")}

    def _observe(self, argument: str, timeout_s: float) -> processes.Observation:
        # With -I and -S neither the environment's libraries nor the checkout are found.
        command = [str(_BARE_PYTHON), "-I", "-S", str(self.archive), argument]
        return processes.observe(command, self._environment(), timeout_s)

    def _assert_single_process(self, observed: processes.Observation) -> None:
        self.assertEqual(observed.exit_code, 0, observed.errors)
        self.assertEqual(observed.children, frozenset())
        self.assertEqual(observed.child_faults, 0)
        self.assertEqual(observed.shared_mappings, frozenset())
        self.assertFalse(observed.io_uring)

    def test_version_runs_from_the_executable_file(self) -> None:
        project = tomllib.loads((_ROOT / "pyproject.toml").read_text())["project"]
        result = subprocess.run(
            [self.archive, "version"],
            env=self._environment(),
            capture_output=True,
            text=True,
            cwd=self.folder,
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn(project["version"], result.stdout)

    def test_version_runs_without_other_libraries(self) -> None:
        self._assert_single_process(self._observe("version", _VERSION_TIMEOUT_S))

    def test_demo_starts_no_other_process(self) -> None:
        self._assert_single_process(self._observe("demo", _DEMO_TIMEOUT_S))

    def test_unusable_root_gives_one_line(self) -> None:
        file = self.folder / "file"
        file.touch()
        for root in (file, file / "root", pathlib.Path("/proc/root-of-archive")):
            with self.subTest(root):
                result = subprocess.run(
                    [_BARE_PYTHON, self.archive, "version"],
                    env=self._environment(root),
                    capture_output=True,
                    text=True,
                )
                self.assertEqual(result.returncode, _EXIT_CONFIGURATION)
                self.assertEqual(result.stdout, "")
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                self.assertIn(f"SHIV_ROOT: cannot unpack to {root}", result.stderr)

    def test_archive_holds_the_pinned_libraries_and_no_tests(self) -> None:
        names = zipfile.ZipFile(self.archive).namelist()
        for line in (_ROOT / "requirements.txt").read_text().splitlines():
            name, _, version = line.partition("==")
            prefix = f"site-packages/{name}-{version}."
            self.assertTrue(any(n.startswith(prefix) for n in names), line)
        own = [name for name in names if "/amaranthpulley/" in name]
        self.assertIn("site-packages/amaranthpulley/__init__.py", own)
        self.assertEqual([name for name in own if "/tests/" in name], [])

    def test_same_sources_give_the_same_archive(self) -> None:
        rebuilt = self.folder / "again"
        build_archive.build(rebuilt, self.package)
        digests = [_sha256(path) for path in (rebuilt, self.archive)]
        self.assertEqual(digests[0], digests[1])

    def test_other_version_than_pinned_is_refused(self) -> None:
        with self.assertRaises(build_archive.BuildError):
            build_archive.distributions(["docopt==0.0.1"])


class LauncherTest(unittest.TestCase):
    def _reason(self, check: types.FunctionType, *args: object) -> str:
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as exit_:
            check(*args)
        self.assertEqual(exit_.exception.code, _EXIT_CONFIGURATION)
        return errors.getvalue()

    def test_folder_without_space_or_execution_is_refused(self) -> None:
        cases = (
            ("bytes are needed", 0, 9),
            ("mounted without execution", os.ST_NOEXEC, 10),
        )
        for message, flags, blocks in cases:
            status = types.SimpleNamespace(f_flag=flags, f_bavail=blocks, f_frsize=10)
            with (
                self.subTest(message),
                tempfile.TemporaryDirectory() as folder,
                mock.patch.object(os, "statvfs", return_value=status),
            ):
                check = archive_launcher.check_folder
                reason = self._reason(check, pathlib.Path(folder), 100)
                self.assertIn(message, reason)
                self.assertEqual(len(reason.splitlines()), 1)

    def test_folder_with_space_is_accepted(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder, "new", "root")
            archive_launcher.check_folder(root, 1)
            self.assertTrue(root.is_dir())

    def test_other_python_version_is_refused(self) -> None:
        self.assertIn("Python 2.7", self._reason(archive_launcher.check_version, "2.7"))
        archive_launcher.check_version("{}.{}".format(*sys.version_info))
