"""The key space that a service's index is partitioned over, and sets of its ranges."""

import hashlib
import itertools
from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state import errors

KEY_SPACE_SIZE: Final = 1 << 32


class KeyRange(NamedTuple):
    """The positions from `start` up to, but without, `end`."""

    start: int
    end: int


WHOLE_KEY_SPACE: Final = KeyRange(0, KEY_SPACE_SIZE)


def position_of(key: str) -> int:
    """Return the position of a key in the key space.

    Parameters
    ----------
    key : str
        Any text, for example a product number.

    Returns
    -------
    int
        A position in ``[0, KEY_SPACE_SIZE)``.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def split_evenly(count: int) -> list[KeyRange]:
    """Cut the key space into `count` adjoining ranges of nearly equal size."""
    bounds = [KEY_SPACE_SIZE * index // count for index in range(count + 1)]
    return [KeyRange(*pair) for pair in itertools.pairwise(bounds)]


class RangeSet:
    """A set of positions, kept as sorted ranges that neither touch nor overlap."""

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges: list[KeyRange] = []
        for key_range in ranges:
            self.add(key_range)

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """The ranges in ascending order."""
        return tuple(self._ranges)

    @property
    def size(self) -> int:
        """The number of positions in the set."""
        return sum(end - start for start, end in self._ranges)

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
        kept = []
        for other in self._ranges:
            if other.end < start or end < other.start:
                kept.append(other)
            else:
                start = min(start, other.start)
                end = max(end, other.end)
        kept.append(KeyRange(start, end))
        self._ranges = sorted(kept)

    def missing_from(self, key_range: KeyRange) -> list[KeyRange]:
        """Return the parts of a range that are not in the set, in ascending order."""
        gaps = []
        start = key_range.start
        for other in self._ranges:
            if other.end <= start:
                continue
            if other.start >= key_range.end:
                break
            if other.start > start:
                gaps.append(KeyRange(start, other.start))
            start = other.end
        if start < key_range.end:
            gaps.append(KeyRange(start, key_range.end))
        return gaps

    def __contains__(self, position: int) -> bool:
        return any(start <= position < end for start, end in self._ranges)
