"""How late the loop is: the time from when a timer was due to when it was handled."""

from typing import Final

WINDOW_MS: Final = 1_000
# More than that is a pause of the process, which is dealt with on its own.
MAXIMUM_LATENESS_MS: Final = 2_000
BOUNDS_MS: Final = (10, 50, 100, 250, 500, 1_000)


def bucket_label(late_ms: int) -> str:
    """Return the least of the bounds that is not below a lateness, or ``"more"``."""
    return next((str(bound) for bound in BOUNDS_MS if late_ms <= bound), "more")


class Lateness:
    """The greatest lateness within the last one to two windows."""

    def __init__(self) -> None:
        self._window = 0
        self._greatest_ms = 0
        self._before_ms = 0

    def record(self, late_ms: int, now_ms: int) -> None:
        """Enter the lateness of one timer.

        Parameters
        ----------
        late_ms : int
            Milliseconds since the timer was due.
        now_ms : int
            Reading of the monotonic clock, in milliseconds.
        """
        self._turn(now_ms)
        if late_ms <= MAXIMUM_LATENESS_MS:
            self._greatest_ms = max(self._greatest_ms, late_ms)

    def recent_ms(self, now_ms: int) -> int:
        """Return the greatest recent lateness in milliseconds."""
        self._turn(now_ms)
        return max(self._greatest_ms, self._before_ms)

    def _turn(self, now_ms: int) -> None:
        window = now_ms // WINDOW_MS
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._before_ms = self._greatest_ms if is_next else 0
        self._greatest_ms = 0
        self._window = window
