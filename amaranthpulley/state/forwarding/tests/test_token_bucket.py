"""Tests of buckets whose token lapses."""

import unittest

from amaranthpulley.state.forwarding import token_bucket


class LapsingTokenTest(unittest.TestCase):
    """What many daemons save in a calm must not add up."""

    def test_a_token_lapses_and_the_next_one_comes_in_its_turn(self) -> None:
        bucket = token_bucket.TokenBucket(0.5, 0)
        found = [bucket.refill_one(1.0, 0.3, at_ms) for at_ms in range(0, 3_000, 100)]
        have = [number * 100 for number, has_one in enumerate(found) if has_one]
        # From half a second on, and for less than 0.4 s in every second.
        self.assertEqual({at_ms // 1_000 for at_ms in have}, {0, 1, 2})
        self.assertLessEqual({at_ms % 1_000 for at_ms in have}, {500, 600, 700, 800})

    def test_after_a_calm_there_is_one_at_most(self) -> None:
        bucket = token_bucket.TokenBucket(0.0, 0)
        self.assertTrue(bucket.refill_one(1.0, 0.5, 60_000))
        bucket.take()
        self.assertFalse(bucket.refill_one(1.0, 0.5, 60_000))

    def test_without_a_share_there_is_none(self) -> None:
        bucket = token_bucket.TokenBucket(1.0, 0)
        self.assertFalse(bucket.refill_one(0.0, 0.5, 10))
