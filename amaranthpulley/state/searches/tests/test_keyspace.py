"""Tests of the key space and of sets of its ranges."""

import unittest

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.state import errors
from amaranthpulley.state.searches import keyspace

_POSITIONS = st.integers(0, keyspace.KEY_SPACE_SIZE)
_RANGES = st.tuples(_POSITIONS, _POSITIONS).filter(lambda pair: pair[0] < pair[1])
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


class RangeSetTest(unittest.TestCase):
    """Sets of positions made of key ranges."""

    def test_refuses_impossible_ranges(self) -> None:
        cases = {"empty": (5, 5), "reversed": (6, 5), "outside": (0, 1 << 33)}
        for name, pair in cases.items():
            with self.subTest(name), self.assertRaises(errors.InvalidKeyRangeError):
                keyspace.RangeSet([keyspace.KeyRange(*pair)])

    @_SETTINGS
    @hypothesis.given(st.lists(_RANGES), _RANGES)
    def test_missing_ranges_complete_the_set(
        self, pairs: list[tuple[int, int]], asked: tuple[int, int]
    ) -> None:
        held = keyspace.RangeSet(keyspace.KeyRange(*pair) for pair in pairs)
        size = held.size
        missing = held.missing_from(keyspace.KeyRange(*asked))
        for gap in missing:
            held.add(gap)
        self.assertEqual(held.size, size + sum(end - start for start, end in missing))
        self.assertEqual(held.missing_from(keyspace.KeyRange(*asked)), [])

    def test_even_split_covers_the_key_space(self) -> None:
        for count in (1, 3, 81):
            with self.subTest(count=count):
                parts = keyspace.RangeSet(keyspace.split_evenly(count))
                self.assertEqual(parts.share, 1.0)
