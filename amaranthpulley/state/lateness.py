"""Lateness of the event loop: the time from a timer's due time to its handling."""

from typing import Final

WINDOW_MS: Final = 1_000
# A greater lateness is a pause of the process, which is detected separately.
MAXIMUM_LATENESS_MS: Final = 2_000
BOUNDS_MS: Final = (10, 50, 100, 250, 500, 1_000)


def bucket_label(late_ms: int) -> str:
    """Return the least bound in `BOUNDS_MS` that covers a lateness, or ``"more"``."""
    return next((str(bound) for bound in BOUNDS_MS if late_ms <= bound), "more")


class Lateness:
    """Tracks the greatest lateness within the last one to two windows."""

    def __init__(self) -> None:
        self._window = 0
        self._greatest_ms = 0
        self._previous_ms = 0

    def record(self, late_ms: int, now_ms: int) -> None:
        """Record the lateness of one timer.

        Parameters
        ----------
        late_ms : int
            Milliseconds since the timer was due.
        now_ms : int
            Reading of the monotonic clock, in milliseconds.
        """
        self._roll_window(now_ms)
        if late_ms <= MAXIMUM_LATENESS_MS:
            self._greatest_ms = max(self._greatest_ms, late_ms)

    def recent_ms(self, now_ms: int) -> int:
        """Return the greatest recent lateness in milliseconds."""
        self._roll_window(now_ms)
        return max(self._greatest_ms, self._previous_ms)

    def _roll_window(self, now_ms: int) -> None:
        window = now_ms // WINDOW_MS
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous_ms = self._greatest_ms if is_next else 0
        self._greatest_ms = 0
        self._window = window
