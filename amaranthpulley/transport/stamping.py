"""The hybrid clock of a process, as the two functions that its messages need."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import hybrid_clock

HEADER: Final = "X-Amaranthpulley-Stamp"


class Stamping(NamedTuple):
    """What a message does with the hybrid clock.

    Attributes
    ----------
    give : callable
        Returns the stamp for a message that is being sent.
    observe : callable
        Takes in the stamp of a message that has come.
    """

    give: Callable[[], int]
    observe: Callable[[int], object]


def stamping(stamps: hybrid_clock.HybridClock, clock: clock_state.Clock) -> Stamping:
    """Return the functions for one process."""
    return Stamping(
        give=lambda: stamps.tick(clock.wall_ms()),
        observe=lambda stamp: stamps.observe(stamp, clock.wall_ms()),
    )


NO_STAMPS: Final = Stamping(give=lambda: 0, observe=lambda stamp: None)
