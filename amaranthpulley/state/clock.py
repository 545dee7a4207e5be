"""A clock interface with a monotonic and a wall reading, and a virtual clock."""

from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """A source of time.

    Attributes
    ----------
    monotonic_ms : callable
        Returns milliseconds since an arbitrary start; never goes backwards.
    wall_ms : callable
        Returns milliseconds since the Unix epoch; may jump.
    """

    monotonic_ms: Callable[[], int]
    wall_ms: Callable[[], int]


class VirtualClock:
    """Time that stands still until it is advanced.

    Parameters
    ----------
    now_ms : int
        The first reading of the monotonic clock, in milliseconds.
    """

    _WALL_OFFSET_MS = 1_700_000_000_000

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    @property
    def now_ms(self) -> int:
        """The current reading, in milliseconds."""
        return self._now_ms

    def advance_to(self, now_ms: int) -> None:
        """Advance to a reading; an earlier one is ignored."""
        self._now_ms = max(self._now_ms, now_ms)

    def as_clock(self) -> Clock:
        """Return the readings as a `Clock`."""
        return Clock(
            monotonic_ms=lambda: self._now_ms,
            wall_ms=lambda: self._WALL_OFFSET_MS + self._now_ms,
        )
