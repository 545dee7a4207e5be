"""The hybrid clock of a process, as the two functions that its messages need."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import hybrid_clock

HEADER: Final = "X-Amaranthpulley-Stamp"


class MessageStamps(NamedTuple):
    """What a message does with the hybrid clock.

    Attributes
    ----------
    next_stamp : callable
        Returns the stamp for a message that is being sent.
    observe : callable
        Takes in the stamp of a message that has come.
    """

    next_stamp: Callable[[], int]
    observe: Callable[[int], object]


def from_hybrid_clock(
    stamps: hybrid_clock.HybridClock, clock: clock_state.Clock
) -> MessageStamps:
    """Return the functions for one process."""
    return MessageStamps(
        next_stamp=lambda: stamps.tick(clock.wall_ms()),
        observe=lambda stamp: stamps.observe(stamp, clock.wall_ms()),
    )


NO_STAMPS: Final = MessageStamps(next_stamp=lambda: 0, observe=lambda stamp: None)
