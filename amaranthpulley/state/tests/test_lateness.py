"""Tests of the event loop's recent lateness."""

import unittest

from amaranthpulley.state import lateness


class LatenessTest(unittest.TestCase):
    """The greatest recent lateness."""

    def test_is_kept_for_one_to_two_windows(self) -> None:
        cases = {0: 300, 999: 300, 1_000: 300, 1_999: 300, 2_000: 0, 9_000: 0}
        for now_ms, expected in cases.items():
            with self.subTest(now_ms=now_ms):
                late = lateness.Lateness()
                late.record(20, 0)
                late.record(300, 0)
                late.record(10, 0)
                self.assertEqual(late.recent_ms(now_ms), expected)

    def test_pause_of_the_process_does_not_count(self) -> None:
        late = lateness.Lateness()
        late.record(lateness.MAXIMUM_LATENESS_MS + 1, 0)
        self.assertEqual(late.recent_ms(0), 0)
