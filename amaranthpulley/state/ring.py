"""A consistent hash ring: the owner of a key in logarithmic time."""

import bisect
import functools
import hashlib
from collections.abc import Iterable
from typing import Final

POINTS_PER_MEMBER: Final = 16
CACHED_MEMBERS: Final = 16_384


class Ring:
    """Members on a ring; a key is owned by the next member after its hash.

    When a member leaves, only the keys that it owned move. A rendezvous hash examines
    every member for each key, which is too slow for thousands of members.
    """

    def __init__(self) -> None:
        self._points: list[tuple[int, str]] = []

    def replace(self, members: Iterable[str]) -> None:
        """Set all members at once."""
        self._points = sorted(point for name in members for point in _points_of(name))

    def add(self, member: str) -> None:
        """Add a member."""
        for point in _points_of(member):
            bisect.insort(self._points, point)

    def remove(self, member: str) -> None:
        """Remove a member."""
        for point in _points_of(member):
            index = bisect.bisect_left(self._points, point)
            if index < len(self._points) and self._points[index] == point:
                del self._points[index]

    def owner_of(self, key: str) -> str:
        """Return the member that owns a key; the ring must not be empty."""
        index = bisect.bisect_left(self._points, (_hash(key), ""))
        return self._points[index % len(self._points)][1]


@functools.lru_cache(maxsize=CACHED_MEMBERS)
def _points_of(member: str) -> tuple[tuple[int, str], ...]:
    # Cached because the same members leave and return.
    return tuple((_hash(f"{member}\n{n}"), member) for n in range(POINTS_PER_MEMBER))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
