"""Hybrid-clock stamps of the messages that a process sends and receives."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import hybrid_clock

HEADER: Final = "X-Amaranthpulley-Stamp"


class MessageStamps(NamedTuple):
    """The functions that stamp sent messages and observe received stamps.

    Attributes
    ----------
    next_stamp : callable
        Returns the stamp for the next message to send.
    observe : callable
        Merges the stamp of a received message, unless it is too far ahead.
    """

    next_stamp: Callable[[], int]
    observe: Callable[[int], object]


def from_hybrid_clock(
    stamps: hybrid_clock.HybridClock, clock: clock_state.Clock
) -> MessageStamps:
    """Return the stamping functions for the hybrid clock of one process."""
    return MessageStamps(
        next_stamp=lambda: stamps.tick(clock.wall_ms()),
        observe=lambda stamp: stamps.observe(stamp, clock.wall_ms()),
    )


NO_STAMPS: Final = MessageStamps(next_stamp=lambda: 0, observe=lambda stamp: None)
