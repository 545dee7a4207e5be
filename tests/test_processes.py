"""Tests that the observation shows child processes and shared memory."""

import sys
import unittest
from typing import Final

from tests import processes

_TIMEOUT_S: Final = 30


def _observe(code: str, timeout_s: float = _TIMEOUT_S) -> processes.Observation:
    return processes.observe([sys.executable, "-I", "-c", code], {}, timeout_s)


class ProcessesTest(unittest.TestCase):
    def test_program_without_children(self) -> None:
        observed = _observe("import sys; print('out'); sys.exit('err')")
        expected = processes.Observation(
            exit_code=1,
            output="out\n",
            errors="err\n",
            children=frozenset(),
            child_faults=0,
            shared_mappings=frozenset(),
            io_uring=False,
        )
        self.assertEqual(observed, expected)

    def test_long_lived_child_is_seen(self) -> None:
        code = "import subprocess; subprocess.run(['sleep', '0.5'])"
        self.assertEqual(len(_observe(code).children), 1)

    def test_brief_child_leaves_page_faults(self) -> None:
        code = "import os; pid = os.fork(); pid or os._exit(0); os.waitpid(pid, 0)"
        self.assertGreater(_observe(code).child_faults, 0)

    def test_shared_memory_is_seen(self) -> None:
        code = "import mmap, time; m = mmap.mmap(-1, 4096); time.sleep(0.5)"
        self.assertEqual(len(_observe(code).shared_mappings), 1)

    def test_program_that_does_not_end_is_killed(self) -> None:
        with self.assertRaises(TimeoutError):
            _observe("import time; time.sleep(60)", timeout_s=0.2)
