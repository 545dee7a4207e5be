"""Tests of the hybrid logical clock."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.state import hybrid_clock

WALL_MS = 1_700_000_000_000
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2), strategies.integers(0, 2), strategies.integers(-5, 9)
    ),
    max_size=60,
)


class HybridClockTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(STEPS, strategies.lists(strategies.integers(-9_000, 9_000)))
    def test_effect_of_a_message_has_a_greater_stamp(
        self, steps: list[tuple[int, int, int]], skews_ms: list[int]
    ) -> None:
        skews_ms = [*skews_ms, 0, 0, 0][:3]
        clocks = [hybrid_clock.HybridClock() for _ in range(3)]
        now_ms, last = WALL_MS, [0, 0, 0]
        for sender, receiver, wait_ms in steps:
            now_ms += wait_ms
            sent = clocks[sender].tick(now_ms + skews_ms[sender])
            self.assertGreater(sent, last[sender])
            last[sender] = sent
            clocks[receiver].observe(sent, now_ms + skews_ms[receiver])
            taken = clocks[receiver].tick(now_ms + skews_ms[receiver])
            self.assertGreater(taken, sent)
            last[receiver] = taken

    def test_stamp_follows_the_own_clock(self) -> None:
        clock = hybrid_clock.HybridClock()
        self.assertEqual(hybrid_clock.time_of(clock.tick(WALL_MS)), WALL_MS)
        self.assertEqual(hybrid_clock.time_of(clock.tick(WALL_MS - 50)), WALL_MS)

    def test_stamp_days_ahead_is_ignored(self) -> None:
        clock, wrong = hybrid_clock.HybridClock(), hybrid_clock.HybridClock()
        stamp = wrong.tick(WALL_MS + 2 * hybrid_clock.MAXIMUM_LEAD_MS)
        self.assertFalse(clock.observe(stamp, WALL_MS))
        self.assertEqual(hybrid_clock.time_of(clock.tick(WALL_MS)), WALL_MS)
