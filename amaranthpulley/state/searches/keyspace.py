"""The key space over which a service's index is partitioned, and sets of its ranges."""

import bisect
import hashlib
import itertools
import operator
from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state import errors

KEY_SPACE_SIZE: Final = 1 << 32


class KeyRange(NamedTuple):
    """The positions from `start` (included) to `end` (excluded)."""

    start: int
    end: int


WHOLE_KEY_SPACE: Final = KeyRange(0, KEY_SPACE_SIZE)

_START = operator.attrgetter("start")
_END = operator.attrgetter("end")


def position_of(key: str) -> int:
    """Return the position of a key in the key space.

    Parameters
    ----------
    key : str
        Any text, such as a product number.

    Returns
    -------
    int
        A position in ``[0, KEY_SPACE_SIZE)``.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def split_evenly(count: int) -> list[KeyRange]:
    """Split the key space into `count` adjacent ranges of nearly equal size."""
    bounds = [KEY_SPACE_SIZE * index // count for index in range(count + 1)]
    return [KeyRange(*pair) for pair in itertools.pairwise(bounds)]


class RangeSet:
    """A set of positions, stored as sorted ranges that neither touch nor overlap."""

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges: list[KeyRange] = []
        self._size = 0
        for key_range in ranges:
            self.add(key_range)

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """The ranges in ascending order."""
        return tuple(self._ranges)

    @property
    def size(self) -> int:
        """The number of positions in the set."""
        return self._size

    @property
    def share(self) -> float:
        """The size as a share of the key space, from 0.0 to 1.0."""
        return self.size / KEY_SPACE_SIZE

    def add(self, key_range: KeyRange) -> None:
        """Add the positions of a range."""
        start, end = key_range
        if not 0 <= start < end <= KEY_SPACE_SIZE:
            raise errors.InvalidKeyRangeError(
                f"key range [{start}, {end}) must lie in [0, {KEY_SPACE_SIZE}) "
                "and hold at least one position"
            )
        ranges = self._ranges
        first = bisect.bisect_left(ranges, start, key=_END)
        last = bisect.bisect_right(ranges, end, key=_START)
        if first < last:
            start = min(start, ranges[first].start)
            end = max(end, ranges[last - 1].end)
        replaced = sum(old.end - old.start for old in ranges[first:last])
        ranges[first:last] = [KeyRange(start, end)]
        self._size += end - start - replaced

    def missing_from(self, key_range: KeyRange) -> list[KeyRange]:
        """Return the parts of a range that are not in the set, in ascending order."""
        gaps = []
        start = key_range.start
        first = bisect.bisect_right(self._ranges, start, key=_END)
        for other in itertools.islice(self._ranges, first, None):
            if other.start >= key_range.end:
                break
            if other.start > start:
                gaps.append(KeyRange(start, other.start))
            start = other.end
        if start < key_range.end:
            gaps.append(KeyRange(start, key_range.end))
        return gaps

    def overlaps(self, key_range: KeyRange) -> bool:
        """Return whether a range has a position in the set."""
        first = bisect.bisect_right(self._ranges, key_range.start, key=_END)
        return first < len(self._ranges) and self._ranges[first].start < key_range.end

    def __contains__(self, position: int) -> bool:
        first = bisect.bisect_right(self._ranges, position, key=_END)
        return first < len(self._ranges) and self._ranges[first].start <= position
