"""Tests of the sliding window of requests and repeats."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.state.forwarding import retry_window

WINDOW_MS = 10_000


class RetryWindowTest(unittest.TestCase):
    """Counts and their expiry."""

    def test_counts_expire_after_the_window(self) -> None:
        window = retry_window.RetryWindow(WINDOW_MS)
        window.add_request(0)
        window.add_repeat(0)
        self.assertEqual(window.totals(WINDOW_MS), (1, 1))
        self.assertEqual(window.totals(2 * WINDOW_MS), (0, 0))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 3_000), max_size=60))
    def test_every_repeat_in_the_window_is_counted(self, pauses: list[int]) -> None:
        window = retry_window.RetryWindow(WINDOW_MS)
        now_ms, times = 0, []
        for pause in pauses:
            now_ms += pause
            window.add_repeat(now_ms)
            times.append(now_ms)
            within = sum(now_ms - at_ms < WINDOW_MS for at_ms in times)
            self.assertGreaterEqual(window.totals(now_ms)[1], within)
