"""Tests of the search cost experiment and its profiler, without running leaves."""

import pathlib
import tempfile
import unittest

from amaranthpulley.transport import errors
from amaranthpulley.transport.bench import sampling_profiler, search_cost

MAXIMUM_ROUNDS = 100_000


class AddressesTest(unittest.TestCase):
    def test_missing_or_short_file_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for text in (None, "127.0.0.1:1\n"):
                if text is not None:
                    pathlib.Path(folder, "leaves-3.txt").write_text(text)
                with (
                    self.subTest(text),
                    self.assertRaisesRegex(errors.NoLeavesError, r"leaves-3\.txt"),
                ):
                    search_cost.run(folder, seed=1, quick=True)


class ProfileTest(unittest.TestCase):
    def test_busy_code_is_seen(self) -> None:
        with sampling_profiler.profiling() as profile:
            for _ in range(MAXIMUM_ROUNDS):
                sorted(range(1_000), key=str)
                if profile.samples >= 3:
                    break
        self.assertGreaterEqual(profile.samples, 3)
        self.assertGreater(profile.self_samples[__name__], 0)
        self.assertGreater(
            profile.cumulative_samples[f"{__name__}:test_busy_code_is_seen"], 0
        )
