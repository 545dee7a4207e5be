"""A hybrid logical clock: stamps that order events of processes whose clocks differ.

A stamp is one integer: milliseconds since the Unix epoch, times 65,536, plus a counter.
It is greater than every stamp that the process has issued or received before, so that
an effect of a message has a greater stamp than the sending of the message.
"""

from typing import Final

COUNTER_BITS: Final = 16
# Stamps that are further ahead of the process's own clock are ignored.
MAXIMUM_LEAD_MS: Final = 86_400_000


class HybridClock:
    """The hybrid logical clock of one process."""

    def __init__(self) -> None:
        self._last = 0

    def tick(self, wall_ms: int) -> int:
        """Return a stamp for an event of this process.

        Parameters
        ----------
        wall_ms : int
            The process's own clock, in milliseconds since the Unix epoch.
        """
        self._last = max(self._last + 1, wall_ms << COUNTER_BITS)
        return self._last

    def observe(self, stamp: int, wall_ms: int) -> bool:
        """Merge the stamp of a message; return False if it is too far ahead.

        Parameters
        ----------
        stamp : int
            The stamp that the message carries.
        wall_ms : int
            The process's own clock, in milliseconds since the Unix epoch.
        """
        if time_of(stamp) > wall_ms + MAXIMUM_LEAD_MS:
            return False
        self._last = max(self._last, stamp)
        return True


def time_of(stamp: int) -> int:
    """Return the time of a stamp, in milliseconds since the Unix epoch."""
    return stamp >> COUNTER_BITS
